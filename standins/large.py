"""Relay state of a large fleet, for tests and benchmarks without a network."""

import time
from types import SimpleNamespace
from typing import Any

from lycheetide import platform
from lycheetide.gossip import Heartbeat
from lycheetide.placement import RequestSize
from lycheetide.relay._state import RelayState
from lycheetide.replicas import RegistryChange, RegistryEntry
from lycheetide.routes import EngineProfile
from lycheetide.settings import RelaySettings

DOMAIN_COUNT = 5
SERVICE = "models"
ENGINE = EngineProfile(
    slots=5, kv_tokens=232_000, steps_per_pass=68, step_s=1.02e-3,
    step_s_per_writer=2.26e-6, step_s_per_context_token=4.31e-9,
    read_s_per_token=1 / 206_000, read_s_per_pair=0.138e-9,
)  # fmt: skip


def make_large_relay(nodes, replicas):
    """Return the state of a relay that knows all replicas and just heard all nodes."""
    settings = RelaySettings(
        "front-0", "munster", "zone-0", "", "", "10.0.0.0:7", "10.9.9.9:8"
    )
    relay = RelayState(settings, platform, "front-0.1.1")
    now_s = time.monotonic()
    entries = [
        RegistryEntry(
            f"i-{n:010x}", SERVICE, f"10.1.0.{n}:80", f"zone-{n % DOMAIN_COUNT}", 5
        )
        for n in range(replicas)
    ]
    changes = [
        RegistryChange(entry.id, place, entry) for place, entry in enumerate(entries, 1)
    ]
    relay.replicas.apply_listing(changes, replicas + 1, now_s=now_s)
    for n in range(1, nodes):
        domain = f"zone-{n % DOMAIN_COUNT}"
        heartbeat = Heartbeat(
            "", f"front-{n}.3b9aca00.1f", f"10.0.0.{n}:7", domain, 1, 1, 0.0
        )
        relay.peers.hear(heartbeat, now_s=now_s)
    route_table: Any = SimpleNamespace(find_shortest_target_s=lambda _: 0.4)
    relay.route_table = route_table
    return relay


def list_no_exclusions(*, now_s):
    """Return no replicas, as for a call that has not been sent yet."""
    return frozenset()


def list_no_homes():
    """Return no regions, as for a call that may be served in any."""
    return (), ()


def make_call(prompt_tokens, *, target_s=0.4, gap_s=0.25, cold_per_s=17.0):
    """Return an object with the attributes of a call that placement reads."""
    return SimpleNamespace(
        route=SimpleNamespace(
            regions=(), target_latency_s=target_s, target_gap_s=gap_s
        ),
        customer=None,
        service=SimpleNamespace(
            name=SERVICE, cold_requests_per_s=cold_per_s, engine=ENGINE
        ),
        list_excluded=list_no_exclusions,
        list_homes=list_no_homes,
        size=RequestSize(prompt_tokens, 1_500),
        request=SimpleNamespace(received_s=time.monotonic()),
        helpers_refused=False,
        is_begun=False,
        sent=0,
        error_starts={},
        error_domains=set(),
    )
