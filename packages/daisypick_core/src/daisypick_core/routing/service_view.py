"""The agents of one service, indexed for selection without a scan.

A router has some 275 agents per model and requests of hundreds of
organisations. A scan of all agents for each attempt would cost the product of
both numbers; instead each agent is added to or removed from the sets below
when its estimated state changes.

* ``usable``: attempts may be sent to it.
* ``free``: usable and estimated to have free slots.
* the room of an organisation: usable, and one more attempt may wait there. It
  is created when the organisation first needs it and dropped with its last
  request.
"""

import collections
import random
import typing

from daisypick_core.queues import indexed_set
from daisypick_core.queues import keyed_queues
from daisypick_core.routing import affinity
from daisypick_core.routing import agents as agents_view
from daisypick_core.routing import allowance
from daisypick_core.routing import outliers
from daisypick_core.routing import pick
from daisypick_core.routing import request as request_value
from daisypick_core.routing import sent_attempts

_MAX_CHOICES = 4


class Room(typing.NamedTuple):
    """The agents at which attempts of one organisation may wait.

    Attributes:
        agents: Agents with room; some may have filled up since.
        allowance: Limit of its attempts that may wait at all agents.
    """

    agents: indexed_set.IndexedSet[agents_view.AgentView]
    allowance: allowance.Allowance


class ServiceView:
    """One service as one router sees it.

    Attributes:
        usable: Agents to which attempts may be sent.
        free: Usable agents with free slots by a recent load report.
        ejected: Usable agents with free slots but a high time to first token.
        stale: Usable agents whose load report is too old to indicate free
            slots and that have not been probed since.
        unknown: Usable agents without a load report that may be probed.
        queues: Requests that wait at the router, by organisation.
        waiting: Attempts that wait at agents, oldest first.
        waiting_by_organisation: Number of waiting attempts by organisation.
        withdrawing: Number of waiting attempts that are being withdrawn.
        typical_first_token: Median time to first token of the service.
    """

    def __init__(self, *, window: int) -> None:
        self._window = window
        self.usable: indexed_set.IndexedSet[agents_view.AgentView] = (
            indexed_set.IndexedSet()
        )
        self.free: indexed_set.IndexedSet[agents_view.AgentView] = (
            indexed_set.IndexedSet()
        )
        self.unknown: indexed_set.IndexedSet[agents_view.AgentView] = (
            indexed_set.IndexedSet()
        )
        self.queues: keyed_queues.KeyedQueues[str, request_value.Job] = (
            keyed_queues.KeyedQueues()
        )
        self.waiting: collections.OrderedDict[
            str, sent_attempts.SentAttempt
        ] = collections.OrderedDict()
        self.waiting_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.withdrawing = 0
        self.ejected: indexed_set.IndexedSet[agents_view.AgentView] = (
            indexed_set.IndexedSet()
        )
        self.stale: indexed_set.IndexedSet[agents_view.AgentView] = (
            indexed_set.IndexedSet()
        )
        self.typical_first_token = outliers.TypicalFirstToken()
        self._view_by_address: dict[str, agents_view.AgentView] = {}
        self._ranking = affinity.PrefixRanking()
        self._room_by_organisation: dict[str, Room] = {}

    def refresh(self, view: agents_view.AgentView, now: float) -> None:
        """Update the sets that an agent belongs to."""
        is_usable = view.is_usable(now)
        self._view_by_address[view.address] = view
        is_free = is_usable and view.free > 0
        is_known = is_free and view.load is not None
        is_ejected = view.ejected_until > now
        is_fresh = is_known and not view.is_stale
        self.free.put(view, is_member=is_fresh and not is_ejected)
        self.ejected.put(view, is_member=is_known and is_ejected)
        is_stale = is_usable and view.is_stale and not view.sent_since_load
        self.stale.put(view, is_member=is_stale and not is_ejected)
        self.unknown.put(view, is_member=is_free and view.load is None)
        if self.usable.put(view, is_member=is_usable):
            for organisation, room in self._room_by_organisation.items():
                self._refresh_room(room, view, organisation, now)

    def refresh_room(
        self, view: agents_view.AgentView, organisation: str, now: float
    ) -> None:
        """Update the agent in the room of an organisation."""
        room = self._room_by_organisation.get(organisation)
        if room is not None:
            self._refresh_room(room, view, organisation, now)

    def remove(self, view: agents_view.AgentView) -> None:
        """Remove an agent."""
        self.usable.discard(view)
        self.free.discard(view)
        self.unknown.discard(view)
        self.ejected.discard(view)
        self.stale.discard(view)
        self._view_by_address.pop(view.address, None)
        for room in self._room_by_organisation.values():
            room.agents.discard(view)

    def has_free(self) -> bool:
        """Return whether some agent is estimated to have free slots."""
        agents = (self.free, self.stale, self.unknown, self.ejected)
        return any(len(each) for each in agents)

    def update_ranking(self) -> None:
        """Update the prefix ranking after agents were added or removed."""
        self._ranking.set_addresses(self._view_by_address)

    def preferred(
        self, request: request_value.Request, now: float
    ) -> list[agents_view.AgentView]:
        """Return preferred agents of a request that may have a free slot."""
        organisation = request.organisation
        if not request.prefix:
            return []
        ranked = map(
            self._view_by_address.get, self._ranking.rank(request.prefix)
        )
        return [
            view
            for view in ranked
            if view is not None
            and view in self.usable
            and view.ejected_until <= now
            and view.may_be_free()
            and (view.free or view.has_room(organisation, self._window, now))
        ]

    def room(self, organisation: str, now: float) -> Room:
        """Return the room of an organisation, created at first use."""
        room = self._room_by_organisation.get(organisation)
        if room is None:
            room = Room(
                agents=indexed_set.IndexedSet(),
                allowance=allowance.Allowance(),
            )
            self._room_by_organisation[organisation] = room
            for view in self.usable.items:
                self._refresh_room(room, view, organisation, now)
        return room

    def known_allowance(self, organisation: str) -> allowance.Allowance | None:
        """Return the allowance of an organisation, ``None`` if it has none."""
        room = self._room_by_organisation.get(organisation)
        return None if room is None else room.allowance

    def drop_room(self, organisation: str) -> None:
        """Drop the room of an organisation without waiting work."""
        if self.queues.size(organisation):
            return
        if not self.waiting_by_organisation.get(organisation):
            self._room_by_organisation.pop(organisation, None)

    def choose(
        self,
        job: request_value.Job,
        policy: pick.Policy,
        rng: random.Random,
        now: float,
    ) -> agents_view.AgentView | None:
        """Return the agent for the next attempt of a job, ``None`` if none."""
        organisation = job.request.organisation
        if len(self.free):
            return self._pick(self.free.items, job, policy, rng, now)
        # A router receives load reports from most agents only once in many
        # seconds. If stale reports were trusted, all work would go to agents
        # that had a free slot then, and none to agents that have one now.
        for _ in range(min(_MAX_CHOICES, len(self.stale))):
            view = self._pick(self.stale.items, job, policy, rng, now)
            if view.has_room(organisation, self._window, now):
                return view
        # The incarnation of an unknown agent is not known, so the first attempt
        # is refused and returns it. This is done only when no known agent is
        # free.
        for agents in (self.unknown, self.ejected):
            if len(agents):
                return self._pick(agents.items, job, policy, rng, now)
        room = self.room(organisation, now)
        if self.waiting_by_organisation[organisation] >= room.allowance.value:
            return None
        for _ in range(_MAX_CHOICES):
            if not len(room.agents):
                return None
            view = self._pick(room.agents.items, job, policy, rng, now)
            if view.has_room(organisation, self._window, now):
                return view
            room.agents.discard(view)
        return None

    def _refresh_room(
        self,
        room: Room,
        view: agents_view.AgentView,
        organisation: str,
        now: float,
    ) -> None:
        has_room = view in self.usable and view.has_room(
            organisation, self._window, now
        )
        room.agents.put(view, is_member=has_room)

    def _pick(
        self,
        candidates: list[agents_view.AgentView],
        job: request_value.Job,
        policy: pick.Policy,
        rng: random.Random,
        now: float,
    ) -> agents_view.AgentView:
        """Apply a policy, avoiding the agent that last refused the job."""
        choice = pick.Choice(
            candidates=candidates,
            preferred=lambda: [
                view
                for view in self.preferred(job.request, now)
                if view.address != job.avoided_agent
            ],
        )
        view = policy(choice, rng)
        if view.address != job.avoided_agent or len(candidates) == 1:
            return view
        position = rng.randrange(len(candidates) - 1)
        other = candidates[position]
        return candidates[-1] if other is view else other
