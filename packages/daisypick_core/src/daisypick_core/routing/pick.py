"""The registered policies that choose an agent for an attempt.

A policy gets the agents that may be sent to and returns one of them. A new
policy is a new function under ``@register``.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

from daisypick_core.routing import agents as agents_view

Policy = Callable[
    [Sequence[agents_view.AgentView], str, random.Random],
    agents_view.AgentView,
]

by_name: dict[str, Policy] = {}


def register(name: str) -> Callable[[Policy], Policy]:
    """Register a pick policy under a name."""

    def _add(policy: Policy) -> Policy:
        by_name[name] = policy
        return policy

    return _add


@register("random")
def pick_random(
    candidates: Sequence[agents_view.AgentView],
    prefix: str,
    rng: random.Random,
) -> agents_view.AgentView:
    """Return any candidate."""
    del prefix
    return rng.choice(candidates)


@register("least_of_two")
def pick_least_of_two(
    candidates: Sequence[agents_view.AgentView],
    prefix: str,
    rng: random.Random,
) -> agents_view.AgentView:
    """Return the one of two random candidates with less work a slot."""
    del prefix
    first = rng.choice(candidates)
    second = rng.choice(candidates)
    return second if second.pressure < first.pressure else first
