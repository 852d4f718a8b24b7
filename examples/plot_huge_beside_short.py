"""Time to first token of short and huge prompts under two scheduling policies.

Simulates a load of mixed prompt lengths on a fleet of engines under two policies: each
request goes to the replica with the fewest requests, or this project's scheduler
decides. Plots the time to first token by prompt length for both. It takes some seconds:
``python examples/plot_huge_beside_short.py``.
"""

from matplotlib.figure import Figure

from lycheetide.load import plan_requests
from lycheetide.simulation import POLICIES, simulate_engines

POLICY_NAMES = ("least outstanding", "lycheetide")
PLAN = list(plan_requests(1_500, rate_per_s=60.0, random_state=3, answer_tokens=32))


def main():
    """Simulate both policies and save ``huge_beside_short.png``."""
    figure = Figure(figsize=(8, 4), layout="constrained")
    panels = figure.subplots(1, len(POLICY_NAMES), sharey=True)
    for axes, name in zip(panels, POLICY_NAMES, strict=True):
        results = [
            r
            for r in simulate_engines(POLICIES[name], PLAN)
            if r.first_token_s is not None
        ]
        tokens = [r.planned.prompt_tokens for r in results]
        axes.scatter(tokens, [r.first_token_s for r in results], s=8, alpha=0.5)
        axes.set_title(name)
        axes.set_xscale("log")
        axes.set_yscale("log")
        axes.set_xlabel("prompt length, tokens")
        axes.grid(alpha=0.3)
    panels[0].set_ylabel("time to first token, s")
    figure.savefig("huge_beside_short.png", dpi=120)


if __name__ == "__main__":
    main()
