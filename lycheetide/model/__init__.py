"""A small model of engines in virtual time, to measure decisions against baselines."""

from lycheetide.model._drive import ModelResult, ModelSettings, run_model
from lycheetide.model._engine import EngineModel, Job
from lycheetide.model._policies import (
    POLICIES,
    make_affinity,
    make_least_outstanding,
    make_lycheetide,
    make_random,
    make_round_robin,
)
from lycheetide.model._relay_policies import RELAY_POLICIES
from lycheetide.model._relays import (
    DENSE_ENGINE,
    KindResult,
    PromptKind,
    RelayModel,
    RelayResult,
    model_relays,
)

__all__ = [
    "DENSE_ENGINE",
    "POLICIES",
    "RELAY_POLICIES",
    "EngineModel",
    "Job",
    "KindResult",
    "ModelResult",
    "ModelSettings",
    "PromptKind",
    "RelayModel",
    "RelayResult",
    "make_affinity",
    "make_least_outstanding",
    "make_lycheetide",
    "make_random",
    "make_round_robin",
    "model_relays",
    "run_model",
]
