"""Fixtures that run fleets of real processes."""

import pytest

from standins.local import LocalFleet, start_example_fleet


@pytest.fixture(scope="module")
def fleet():
    """A small Forge Works fleet that is ready, shared by the tests of a module."""
    with LocalFleet() as local:
        start_example_fleet(local)
        local.wait_ready()
        yield local


@pytest.fixture
def own_fleet():
    """A small fleet for one test only, which may break it."""
    with LocalFleet() as local:
        start_example_fleet(local)
        local.wait_ready()
        yield local
