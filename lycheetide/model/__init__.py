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

__all__ = [
    "POLICIES",
    "EngineModel",
    "Job",
    "ModelResult",
    "ModelSettings",
    "make_affinity",
    "make_least_outstanding",
    "make_lycheetide",
    "make_random",
    "make_round_robin",
    "run_model",
]
