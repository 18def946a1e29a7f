"""The registered policies that choose an agent for an attempt.

A policy receives the eligible agents and returns one of them. To add a
policy, decorate a function with ``@register``.

``prefix_affinity`` sends prompts with the same prefix to the same few servers,
so that their limited KV caches hold it. The servers are computed, not learned:
each router ranks the agents of the service by a hash of prefix and address
(rendezvous hashing). All routers agree without communication, and the removal
of an agent moves only its own prefixes. Cache events of the engines are not
used, since they arrive late and incompletely. Load takes precedence: a
preferred agent is chosen only if it has, or may have, a free slot.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random
import typing

from daisypick_core.routing import agents as agents_view


class Choice(typing.NamedTuple):
    """The options of a policy.

    Attributes:
        candidates: Eligible agents, at least one.
        preferred: Returns the preferred agents of the request's prefix that
            may have a free slot, best first; may be empty.
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
    """Return a random candidate."""
    return rng.choice(choice.candidates)


@register("least_of_two")
def pick_least_of_two(
    choice: Choice, rng: random.Random
) -> agents_view.AgentView:
    """Return the one of two random candidates with less load per slot."""
    first = rng.choice(choice.candidates)
    second = rng.choice(choice.candidates)
    return second if second.load_per_slot < first.load_per_slot else first


@register("prefix_affinity")
def pick_prefix_affinity(
    choice: Choice, rng: random.Random
) -> agents_view.AgentView:
    """Return the best preferred agent, else the less loaded of two."""
    for view in choice.preferred():
        return view
    return pick_least_of_two(choice, rng)
