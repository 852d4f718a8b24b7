"""Discrete-event simulations of engines, to compare policies with baselines.

Time is virtual: a simulation never reads a clock, so a seed gives the same result on
every machine.
"""

from lycheetide.simulation._engine import BatchingEngine, EngineJob
from lycheetide.simulation._engine_simulation import (
    SimulatedRequest,
    SimulationSettings,
    simulate_engines,
)
from lycheetide.simulation._policies import (
    POLICIES,
    make_affinity,
    make_least_outstanding,
    make_lycheetide,
    make_random,
    make_round_robin,
)
from lycheetide.simulation._relay_policies import RELAY_POLICIES
from lycheetide.simulation._relay_simulation import (
    DENSE_ENGINE,
    KindResult,
    PromptKind,
    RelayModel,
    RelayResult,
    simulate_relays,
)

__all__ = [
    "DENSE_ENGINE",
    "POLICIES",
    "RELAY_POLICIES",
    "BatchingEngine",
    "EngineJob",
    "KindResult",
    "PromptKind",
    "RelayModel",
    "RelayResult",
    "SimulatedRequest",
    "SimulationSettings",
    "make_affinity",
    "make_least_outstanding",
    "make_lycheetide",
    "make_random",
    "make_round_robin",
    "simulate_engines",
    "simulate_relays",
]
