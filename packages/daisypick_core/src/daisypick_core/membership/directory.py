"""Processes known from contact, the configuration and the platform's list.

There is no shared list of members. Each process has a view of its own: a
process with a recent contact is live; one that the configuration names and
that was never contacted is assumed to be live; one that failed after its last
contact is not live until the failure expires. Views differ, so any role that is
assigned by them (watchers, collectors, batchers) must be correct whichever
process takes it; two processes in a role, or none for a moment, may only cost
speed.

Examples:
    >>> own = Member("10.0.0.1:80", AGENT, "sofia")
    >>> directory = Directory(own=own)
    >>> directory.set_listed([Member("10.0.0.2:80", AGENT, "sofia")])
    >>> directory.record_member(Member("10.0.0.3:80", ROUTER, "sofia"), 1.0)
    >>> directory.live(AGENT, "sofia", 2.0)
    ['10.0.0.1:80', '10.0.0.2:80']
    >>> directory.record_failure("10.0.0.2:80", 2.0)
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

CONTACT_EXPIRY_SECONDS = 90.0
FAILURE_EXPIRY_SECONDS = 30.0


class Member(typing.NamedTuple):
    """A process of the fleet.

    Attributes:
        address: ``host:port``.
        role: ``ROUTER`` or ``AGENT``.
        data_centre: Name of its data centre.
        service: Name of the service of an agent's backend server; ``""`` if
            unknown, because only the configuration contains it.
    """

    address: str
    role: str
    data_centre: str
    service: str = ""


class GossipEntry(typing.NamedTuple):
    """A member and the seconds since its last contact."""

    member: Member
    age: float


class Directory:
    """One process's view of the members."""

    def __init__(self, *, own: Member) -> None:
        self._own = own
        self._listed_by_address: dict[str, Member] = {}
        self._contacted_by_address: dict[str, Member] = {}
        self._last_contact_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._leaving_hosts: frozenset[str] = frozenset()

    def set_listed(self, members: Iterable[Member]) -> None:
        """Set the members from the configuration, or the seed members."""
        self._listed_by_address = {member.address: member for member in members}

    def set_leaving(self, hosts: Iterable[str]) -> None:
        """Set the hosts that the platform's list shows as leaving."""
        self._leaving_hosts = frozenset(hosts)

    def record_member(
        self, member: Member, now: float, *, age: float = 0.0
    ) -> None:
        """Record a member whose last contact was ``age`` seconds ago.

        The contact was with this process or with a peer.
        """
        if member.address == self._own.address or age >= CONTACT_EXPIRY_SECONDS:
            return
        self._contacted_by_address[member.address] = member
        self.record_contact(member.address, now - age)

    def record_contact(self, address: str, now: float) -> None:
        """Record a contact with an address."""
        latest = self._last_contact_at.get(address)
        if latest is None or now > latest:
            self._last_contact_at[address] = now

    def record_failure(self, address: str, now: float) -> None:
        """Record that an address did not respond."""
        self._failed_at[address] = now

    def age(self, address: str, now: float) -> float | None:
        """Return the seconds since the last contact, ``None`` if never."""
        contact_at = self._last_contact_at.get(address)
        return None if contact_at is None else now - contact_at

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

        This process is included if the configuration lists it for the service.
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
        """Return all live members except this process."""
        known = {**self._listed_by_address, **self._contacted_by_address}
        known.pop(self._own.address, None)
        return [
            member
            for address, member in known.items()
            if self._is_live(address, now)
        ]

    def sample(
        self, rng: random.Random, count: int, now: float
    ) -> list[GossipEntry]:
        """Return random members with the ages of their last contacts.

        They are sent to a peer. Members known only from the configuration are
        left out, because every process has the configuration.
        """
        fresh = [
            address
            for address in self._contacted_by_address
            if self._is_live(address, now)
        ]
        chosen = rng.sample(fresh, min(count, len(fresh)))
        return [
            GossipEntry(
                member=self._contacted_by_address[address],
                age=now - self._last_contact_at[address],
            )
            for address in chosen
        ]

    def forget_old(self, now: float) -> None:
        """Drop expired contacts and failures, to bound memory."""
        earliest = now - CONTACT_EXPIRY_SECONDS
        for address, contact_at in list(self._last_contact_at.items()):
            if contact_at < earliest:
                del self._last_contact_at[address]
                self._contacted_by_address.pop(address, None)
        self._failed_at = _newer_than(
            self._failed_at, now - FAILURE_EXPIRY_SECONDS
        )

    def _is_live(self, address: str, now: float) -> bool:
        if address.rpartition(":")[0] in self._leaving_hosts:
            return False
        contact_at = self._last_contact_at.get(address)
        failed_at = self._failed_at.get(address)
        has_failed = (
            failed_at is not None and now - failed_at < FAILURE_EXPIRY_SECONDS
        )
        if has_failed and (contact_at is None or failed_at >= contact_at):
            return False
        if contact_at is not None and now - contact_at < CONTACT_EXPIRY_SECONDS:
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
