"""Operators' records are in force in time although answers of the store are lost."""

import time
from itertools import count

import anyio
import pytest

from standins.relay_deployment import CUSTOMER, RelayDeployment

pytestmark = pytest.mark.anyio

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
"""How long after its last impairment the store counts as stable again."""
MAX_STRETCH_S = 5.0
LOSS_S = 2.0
START_WAIT_S = 1.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


def is_wait(target):
    """Tell whether a call waits for a new record."""
    return "keyed.op" in target and "waitMs=0" not in target and "waitMs" in target


def is_any(target):
    """Tell that any call is meant."""
    return True


def make_changed_config(config, version):
    """Return a configuration with another key, a new route and without an old one."""
    kept = [route for route in config["routes"] if route["name"] != "book"]
    added = kept[-1] | {"name": "new", "pathPrefix": "/new/"}
    tenants = [{"name": CUSTOMER, "apiKeys": ["another-key"], "maxActive": 7}]
    limits = config["limits"] | {"maxBodyBytes": 77}
    return config | {
        "version": version, "routes": [*kept, added], "tenants": tenants,
        "limits": limits,
    }  # fmt: skip


def operate(fleet, version):
    """Change the configuration, and close a failure domain."""
    fleet.store.put("keyed.op", "config", make_changed_config(fleet.config, version))
    fleet.store.put("keyed.op", "evacuate/cork-b", {"since": 1})


def is_in_force(relay, version):
    """Tell whether a node acts on all that an operator has changed."""
    return relay.route_table.routing.version == version and "cork-b" in relay.closed


async def measure_in_force_s(fleet, version, *, timeout_s):
    """Return how long it takes until all nodes act on a change."""
    operate(fleet, version)
    return await fleet.wait_for(
        lambda: all(is_in_force(relay, version) for relay in fleet.relays),
        timeout_s=timeout_s,
    )


async def wait_for_peers(fleet):
    """Wait until all nodes know each other, and wait for records at the store."""
    await fleet.wait_for(
        lambda: all(
            len(relay.list_alive_nodes(now_s=time.monotonic())) == len(fleet.relays)
            for relay in fleet.relays
        )
    )
    await anyio.sleep(START_WAIT_S)


@pytest.mark.parametrize("relays", [1, 3])
async def test_changes_are_in_force_in_time_if_all_waiting_reads_are_lost(relays):
    """Guards against a revoked key that lives on until lost reads time out.

    Nothing else is lost, so that the bound isn't stretched.
    """
    async with RelayDeployment(relays=relays) as fleet:
        await wait_for_peers(fleet)
        fleet.store.loses = is_wait
        took_s = await measure_in_force_s(fleet, 7, timeout_s=CONFIG_APPLY_S)
        assert fleet.store.lost >= 1
        statuses = [
            (
                (await fleet.look(relay=place)).status_code,
                (await fleet.look(relay=place, key="another-key")).status_code,
                (await fleet.look(relay=place, path="/new/a", key="another-key"))
                .status_code,
                (await fleet.book(relay=place, key="another-key")).status_code,
            )
            for place in range(relays)
        ]  # fmt: skip
    assert took_s <= CONFIG_APPLY_S
    assert statuses == [(401, 200, 200, 404)] * relays


async def test_the_loss_of_all_answers_delays_changes_by_no_more_than_contact_s():
    """Guards against a repair whose own answer is lost unnoticed."""
    async with RelayDeployment(relays=3) as fleet:
        await wait_for_peers(fleet)
        fleet.store.loses = is_any
        operate(fleet, 7)
        await anyio.sleep(LOSS_S)
        fleet.store.loses = lambda target: False
        took_s = await fleet.wait_for(
            lambda: all(is_in_force(relay, 7) for relay in fleet.relays)
        )
    assert took_s <= CONTACT_S


async def test_losses_in_series_delay_changes_by_no_more_than_the_stretch():
    """Guards against waits that meet one loss after the other."""
    async with RelayDeployment(relays=3) as fleet:
        await wait_for_peers(fleet)

        async def lose_in_series():
            for number in count():
                fleet.store.loses = is_any if number % 2 == 0 else (lambda target: 0)
                await anyio.sleep(LOSS_S)

        fleet.group.start_soon(lose_in_series)
        for version in (7, 9, 11):
            await measure_in_force_s(
                fleet, version, timeout_s=CONFIG_APPLY_S + MAX_STRETCH_S
            )
            fleet.store.remove("keyed.op", "evacuate/cork-b")
            await fleet.wait_for(
                lambda: not any(relay.closed for relay in fleet.relays),
                timeout_s=CONFIG_APPLY_S + MAX_STRETCH_S,
            )


async def test_a_change_is_in_force_in_time_if_the_node_that_asks_stops():
    """Guards against a repair that rests on one node."""
    async with RelayDeployment(relays=3) as fleet:
        await wait_for_peers(fleet)
        fleet.store.loses = is_wait
        # The first node to start is the one that reads for the others.
        fleet.stop_events[0].set()
        stopped = fleet.relays.pop(0)
        await fleet.wait_for(lambda: stopped.is_leaving)
        await measure_in_force_s(fleet, 7, timeout_s=CONFIG_APPLY_S)


async def test_few_questions_are_asked_while_nothing_changes():
    """Guards against calls to the store that grow with the number of nodes."""
    async with RelayDeployment(relays=5) as fleet:
        await wait_for_peers(fleet)
        asked = len(fleet.store.calls)
        await anyio.sleep(3.0)
        calls = [one for one in fleet.store.calls[asked:] if "keyed.op" in one]
    assert 2 <= len(calls) <= 6
