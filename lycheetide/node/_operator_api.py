"""HTTP API for operators, on an address of its own.

It serves the status of the node, the configuration in force, verdicts on configuration
records, and the recorded steps of a request.
"""

from dataclasses import asdict

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from lycheetide._version import __version__
from lycheetide.fleet import make_snapshot_record
from lycheetide.node._state import read_clock


def make_operator_app(node):
    """Return the ASGI application for operators."""

    async def status(request):
        return JSONResponse(describe_node(node, now_s=read_clock()))

    async def config(request):
        body = {
            "version": node.config.version,
            "since_s": round(read_clock() - node.config_changed_s, 3),
            "snapshot": make_snapshot_record(node.config),
        }
        return JSONResponse(body)

    async def verdict(request):
        found = node.verdicts.get(request.path_params["record_id"])
        if found is None:
            return JSONResponse({"error": "this node has not applied the record"}, 404)
        return JSONResponse(asdict(found))

    async def explain(request):
        steps = node.request_traces.find(request.path_params["request_id"])
        if not steps:
            return JSONResponse({"error": "this node has no steps of the request"}, 404)
        first_s = steps[0].at_s
        rows = [
            {"after_ms": round((s.at_s - first_s) * 1000, 2), "what": s.what}
            | dict(s.fields)
            for s in steps
        ]
        return JSONResponse({"steps": rows})

    return Starlette(
        routes=[
            Route("/status", status),
            Route("/config", config),
            Route("/verdicts/{record_id}", verdict),
            Route("/explain/{request_id}", explain),
        ]
    )


def describe_node(node, *, now_s):
    """Return the node status that ``lycheetide status`` shows."""
    membership = node.membership
    return {
        "node": node.own_id,
        "version": __version__,
        "state": node.lifecycle_state,
        "region": node.settings.region,
        "failure_domain": node.own.failure_domain,
        "fresh": node.is_fresh(now_s=now_s),
        "log_age_s": round(now_s - node.log_read_started_s, 3),
        "config_version": node.config.version,
        "view": membership.view.number,
        "settled_view": membership.settled_number,
        "members": [m.member_id for m in membership.view.members],
        "acting": membership.holds_lease(now_s=now_s),
        "active_requests": len(node.active),
        "permits": len(node.permits),
        "cells": [describe_cell(owned) for owned in node.cells.values()],
        "retries_by_customer": dict(node.budgets.retries),
        "retries_denied_by_customer": dict(node.budgets.denied),
        "peer_calls": dict(node.peers.counts),
        "log_appends": node.booking_writer.appends,
        "counters": dict(node.counters.counts),
    }


def describe_cell(owned):
    """Return the status of an owned cell."""
    cell = owned.cell
    return {
        "cell": cell.name,
        "settled": not owned.earlier_owners,
        "waiting": len(cell.tickets),
        "permits": len(cell.permits),
        "lost_permits": len(cell.lost_permits),
        "replicas": [
            {
                "upstream": replica.upstream.name,
                "failure_domain": replica.upstream.failure_domain,
                "phase": replica.phase,
                "open": replica.is_open,
                "boot_id": replica.boot_id,
                "limit": replica.ramp_limit,
            }
            for replica in cell.replicas.values()
        ],
    }
