"""What switches control of capacity on, and that all other deployments have none."""

from types import SimpleNamespace

import pytest

from lycheetide.admission import Activation, find_activation
from lycheetide.exchange import Record
from lycheetide.platform import decode_operator_records, has_contended_capacity


def make_routing(delays):
    text = (
        '{"version": 1, "routes": [], "services": [{"name": "s", "engine": '
        f'{{"slots": 6, "read_per_s": 1000, "delays": {delays}}}}}]}}'
    )
    ((_, routing, _),) = decode_operator_records([Record(1, "config", text.encode())])
    return routing


def activate(contracts=(), delays="[]", memory_mb=200.0):
    return find_activation(
        SimpleNamespace(contracts=contracts, memory_mb=memory_mb),
        make_routing(delays),
        has_contended_capacity=has_contended_capacity,
    )


@pytest.mark.parametrize(
    ("contracts", "delay_ms", "expected"),
    [
        ((), 1.4, Activation()),
        (("base", "health"), 2.9, Activation()),
        (("base", "pressure"), 0.5, Activation(True, 200_000_000)),
        (("base",), 4.5, Activation(True, 200_000_000)),
    ],
)
def test_only_contended_or_far_apart_deployments_are_controlled(
    contracts, delay_ms, expected
):
    """Guards against a change of behaviour in deployments that don't ask for it."""
    delays = f'[{{"from": "a", "targetVersion": "b", "delay_ms": {delay_ms}}}]'
    assert activate(contracts, delays) == expected


def test_absurd_declared_delays_are_left_out():
    """Guards against a mistyped delay that would switch control on."""
    delays = '[{"from": "a", "targetVersion": "b", "delay_ms": 1e9},' + (
        '{"from": "a", "targetVersion": "a", "delay_ms": 9}, {"delay_ms": -4}]'
    )
    assert not activate(delays=delays).is_contended


def test_node_without_configuration_goes_by_its_settings():
    """Guards against an error before the first configuration is read."""
    settings = SimpleNamespace(contracts=("pressure",), memory_mb=0.0)
    found = find_activation(
        settings, None, has_contended_capacity=has_contended_capacity
    )
    assert found == Activation(True, 0)
