"""The registered policies that choose an agent for an attempt.

A policy gets the agents that may be sent to and returns one of them. A new
policy is a new function under ``@register``.

``prefix_affinity`` brings prompts with the same prefix to the same few
servers, whose limited caches then hold it. Which ones is computed, not
learned: each router ranks the agents of the service by a hash of prefix and
address (rendezvous hashing), so all routers agree without a word, and an
agent that leaves moves its own prefixes only. Cache events of the engines come
late and with gaps; nothing here needs them. Load goes first: a preferred
agent is taken only if it has, or may well have, a free slot.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random
import typing

from daisypick_core.routing import agents as agents_view


class Choice(typing.NamedTuple):
    """What a policy chooses from.

    Attributes:
        candidates: Agents that may be sent to; at least one.
        preferred: Returns the agents that are preferred for the request's
            prefix and may have a free slot, best first; perhaps none.
    """

    candidates: Sequence[agents_view.AgentView]
    preferred: Callable[[], Sequence[agents_view.AgentView]]


Policy = Callable[[Choice, random.Random], agents_view.AgentView]

by_name: dict[str, Policy] = {}


def register(name: str) -> Callable[[Policy], Policy]:
    """Register a pick policy under a name."""

    def _add(policy: Policy) -> Policy:
        by_name[name] = policy
        return policy

    return _add


@register("random")
def pick_random(choice: Choice, rng: random.Random) -> agents_view.AgentView:
    """Return any candidate."""
    return rng.choice(choice.candidates)


@register("least_of_two")
def pick_least_of_two(
    choice: Choice, rng: random.Random
) -> agents_view.AgentView:
    """Return the one of two random candidates with less work a slot."""
    first = rng.choice(choice.candidates)
    second = rng.choice(choice.candidates)
    return second if second.pressure < first.pressure else first


@register("prefix_affinity")
def pick_prefix_affinity(
    choice: Choice, rng: random.Random
) -> agents_view.AgentView:
    """Return the best preferred agent, else the less loaded of two."""
    for view in choice.preferred():
        return view
    return pick_least_of_two(choice, rng)
