"""Fleets of real processes for the tests of this subpackage."""

import pytest

from standins.local import LocalFleet, make_forge_works


@pytest.fixture(scope="module")
def fleet():
    """A small Forge Works fleet that is ready, shared by a module's tests."""
    with LocalFleet() as local:
        make_forge_works(local)
        local.wait_ready()
        yield local


@pytest.fixture
def own_fleet():
    """A small fleet of one test's own, which the test may break."""
    with LocalFleet() as local:
        make_forge_works(local)
        local.wait_ready()
        yield local
