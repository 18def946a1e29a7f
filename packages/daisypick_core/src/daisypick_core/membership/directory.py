"""Processes known from contact, the configuration and the platform's list.

Nobody keeps a common list of members. Each process believes what it has seen:
a process that was heard lately is alive; one that the configuration names and
that was never tried is taken for alive; one that failed since it was last
heard is not, for a while. Views differ, and whatever is chosen from them
(watchers, collectors, batchers) must be right whoever does the work, and at
most slower if two do it or nobody does for a moment.

Examples:
    >>> own = Member("10.0.0.1:80", AGENT, "sofia")
    >>> directory = Directory(own=own)
    >>> directory.set_listed([Member("10.0.0.2:80", AGENT, "sofia")])
    >>> directory.hear(Member("10.0.0.3:80", ROUTER, "sofia"), 1.0)
    >>> directory.live(AGENT, "sofia", 2.0)
    ['10.0.0.1:80', '10.0.0.2:80']
    >>> directory.fail("10.0.0.2:80", 2.0)
    >>> directory.live(AGENT, "sofia", 3.0)
    ['10.0.0.1:80']
    >>> directory.age("10.0.0.3:80", 2.5)
    1.5
"""

from collections.abc import Iterable
from collections.abc import Mapping
import random
import typing

ROUTER = "router"
AGENT = "agent"

HEARD_SECONDS = 90.0
FAILED_SECONDS = 30.0


class Member(typing.NamedTuple):
    """A process of the fleet.

    Attributes:
        address: ``host:port``.
        role: ``ROUTER`` or ``AGENT``.
        data_centre: Name of its data centre.
        service: Name of the service of an agent's backend server; ``""``
            if unknown, which only the configuration tells.
    """

    address: str
    role: str
    data_centre: str
    service: str = ""


class Sighting(typing.NamedTuple):
    """A member and how long ago it was heard, seconds."""

    member: Member
    age: float


class Directory:
    """The members that one process believes in."""

    def __init__(self, *, own: Member) -> None:
        self._own = own
        self._listed_by_address: dict[str, Member] = {}
        self._heard_by_address: dict[str, Member] = {}
        self._heard_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._leaving_hosts: frozenset[str] = frozenset()

    def set_listed(self, members: Iterable[Member]) -> None:
        """Take the members that the configuration names, or seeds."""
        self._listed_by_address = {member.address: member for member in members}

    def set_leaving(self, hosts: Iterable[str]) -> None:
        """Take the hosts that the platform's list shows as leaving."""
        self._leaving_hosts = frozenset(hosts)

    def hear(self, member: Member, now: float, *, age: float = 0.0) -> None:
        """Note a member that was heard ``age`` seconds ago, by us or a peer."""
        if member.address == self._own.address or age >= HEARD_SECONDS:
            return
        self._heard_by_address[member.address] = member
        self.contact(member.address, now - age)

    def contact(self, address: str, now: float) -> None:
        """Note that an address was heard."""
        latest = self._heard_at.get(address)
        if latest is None or now > latest:
            self._heard_at[address] = now

    def fail(self, address: str, now: float) -> None:
        """Note that an address did not answer."""
        self._failed_at[address] = now

    def age(self, address: str, now: float) -> float | None:
        """Return seconds since an address was heard, ``None`` if never."""
        heard_at = self._heard_at.get(address)
        return None if heard_at is None else now - heard_at

    def live(self, role: str, data_centre: str, now: float) -> list[str]:
        """Return the live addresses of a role in a data centre, sorted."""
        members = [*self.members(now), self._own]
        return sorted(
            member.address
            for member in members
            if (member.role, member.data_centre) == (role, data_centre)
        )

    def live_agents(
        self, service: str, data_centre: str, now: float
    ) -> list[str]:
        """Return the live agents of a service in a data centre, sorted.

        The own process counts if the configuration names it so.
        """
        return sorted(
            member.address
            for member in self._listed_by_address.values()
            if (member.service, member.data_centre) == (service, data_centre)
            and (
                member.address == self._own.address
                or self._is_live(member.address, now)
            )
        )

    def members(self, now: float) -> list[Member]:
        """Return all live members but the own process."""
        known = {**self._listed_by_address, **self._heard_by_address}
        known.pop(self._own.address, None)
        return [
            member
            for address, member in known.items()
            if self._is_live(address, now)
        ]

    def sample(
        self, rng: random.Random, count: int, now: float
    ) -> list[Sighting]:
        """Return some members with their ages, to tell a peer of them.

        Only those that were heard: the configuration is known to all.
        """
        fresh = [
            address
            for address in self._heard_by_address
            if self._is_live(address, now)
        ]
        chosen = rng.sample(fresh, min(count, len(fresh)))
        return [
            Sighting(
                member=self._heard_by_address[address],
                age=now - self._heard_at[address],
            )
            for address in chosen
        ]

    def forget_old(self, now: float) -> None:
        """Drop what has not been heard for long, to bound the memory."""
        earliest = now - HEARD_SECONDS
        for address, heard_at in list(self._heard_at.items()):
            if heard_at < earliest:
                del self._heard_at[address]
                self._heard_by_address.pop(address, None)
        self._failed_at = _newer_than(self._failed_at, now - FAILED_SECONDS)

    def _is_live(self, address: str, now: float) -> bool:
        if address.rpartition(":")[0] in self._leaving_hosts:
            return False
        heard_at = self._heard_at.get(address)
        failed_at = self._failed_at.get(address)
        has_failed = failed_at is not None and now - failed_at < FAILED_SECONDS
        if has_failed and (heard_at is None or failed_at >= heard_at):
            return False
        if heard_at is not None and now - heard_at < HEARD_SECONDS:
            return True
        return address in self._listed_by_address


def _newer_than(
    time_by_address: Mapping[str, float], earliest: float
) -> dict[str, float]:
    return {
        address: time
        for address, time in time_by_address.items()
        if time > earliest
    }
