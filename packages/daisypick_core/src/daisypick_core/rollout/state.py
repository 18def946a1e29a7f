"""How far the roll-out of a service is.

Routers tell each other the state. Of two states the one of the later order
counts, and of one order the later phase, so that messages may come in any
sequence and more than once. ``ROLLED_BACK`` comes after ``MOVING``: a router
that decides against a version prevails over one that does not know yet.
``SUCCEEDED`` comes last, since it is only told after the platform's store has
accepted it as the end of the order.

Examples:
    >>> canary = RolloutState(
    ...     service="desk", number=(0, 7), in_force="v1", target="v2",
    ...     created="7", seconds=12.0, phase=Phase.CANARY,
    ... )
    >>> moving = canary._replace(phase=Phase.MOVING)
    >>> find_later(moving, canary) is moving
    True
    >>> canary.version, moving.version
    ('v1', 'v2')
"""

import enum
import typing


class Phase(enum.IntEnum):
    """Phases of a roll-out in the sequence in which they supersede another."""

    CANARY = 1
    """A share of the requests goes to the target."""
    PROBE = 2
    """What is left of that share goes to few of the target's servers."""
    MOVING = 3
    """All new requests go to the target; earlier ones end where they are."""
    ROLLED_BACK = 4
    """The target gets nothing."""
    SUCCEEDED = 5
    """The target is the version in force; other versions may be stopped."""


class RolloutState(typing.NamedTuple):
    """State of the newest roll-out of a service.

    Attributes:
        service: Name of the service.
        number: Era and revision of the platform's store at which the order
            was first seen; later orders have larger ones.
        in_force: Version that served when the order came.
        target: Version that the order names.
        created: Identifies the creation of the order.
        seconds: Time limit of the roll-out.
        phase: Phase that was reached.
    """

    service: str
    number: tuple[int, int]
    in_force: str
    target: str
    created: str
    seconds: float
    phase: Phase

    @property
    def version(self) -> str:
        """The version that gets the requests which test no other one."""
        if self.phase in (Phase.MOVING, Phase.SUCCEEDED):
            return self.target
        return self.in_force

    def is_of_same_order(self, other: "RolloutState") -> bool:
        """Return whether another state is of the same order."""
        return bool(self.created) and (
            (self.target, self.created, self.seconds)
            == (other.target, other.created, other.seconds)
        )

    @property
    def is_testing(self) -> bool:
        """Whether a share of the requests goes to the target."""
        return self.phase in (Phase.CANARY, Phase.PROBE)

    @property
    def has_ended(self) -> bool:
        """Whether the outcome is final."""
        return self.phase >= Phase.ROLLED_BACK


def find_later(known: RolloutState | None, other: RolloutState) -> RolloutState:
    """Return the state that supersedes the other one.

    Routers that cannot reach each other may number the same order differently.
    """
    if known is None:
        return other
    if known.is_of_same_order(other):
        return other if other.phase > known.phase else known
    if (other.number, other.phase) > (known.number, known.phase):
        return other
    return known
