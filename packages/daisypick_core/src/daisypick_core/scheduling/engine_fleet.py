"""The engines of a service that may get work, and their estimated state.

Servers are added and removed one at a time, so a change costs the same with
ten engines as with three thousand. The estimate of an engine is created with
its first request; until then the engine counts as idle. A draining engine
keeps its estimate until its requests have ended.

A decision examines all engines of a small fleet. Of a larger one it examines
a random sample of those with a free slot, and those that last had the parts
of the prompt: the best of some dozens is hardly worse than the best of all,
and the time of a decision stays bounded.

Examples:
    >>> from daisypick_core.scheduling import prefill_speed, server_state
    >>> fleet = EngineFleet(kv_tokens=1000, speed=prefill_speed.ServiceSpeed())
    >>> state = server_state.ServerState("e-0", slots=8, cold_until=0, born=1)
    >>> fleet.put(state)
    >>> fleet.slots, fleet.running, len(fleet)
    (8, 0, 1)
    >>> fleet.drop("e-0")
    >>> len(fleet)
    0
"""

from collections.abc import Iterable
from collections.abc import Sequence
import random

from daisypick_core.queues import indexed_set
from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import recent_holders
from daisypick_core.scheduling import server_state
from daisypick_core.serving import outcomes

# Largest fleet of which a decision examines all engines.
_MAX_SCANNED = 48
# Engines of a larger fleet that it examines, besides those that had the prompt.
_SAMPLE_SIZE = 24
# Prompt parts whose last engine is remembered: some minutes at a busy host.
_MAX_PARTS = 20_000


class EngineFleet:
    """Engines by server.

    Args:
        kv_tokens: KV cache of one engine, in tokens.
        speed: Latency model of the service's engines.

    Attributes:
        state_by_server: The servers that may get work.
        data_centre_by_server: Their data centres.
        outcomes: Failures in a row, by server.
        slots: Slots of the servers that may get work.
        running: Requests at them.
    """

    def __init__(
        self, *, kv_tokens: int, speed: prefill_speed.ServiceSpeed
    ) -> None:
        self._kv_tokens = kv_tokens
        self._speed = speed
        self._share = 1.0
        self.state_by_server: dict[str, server_state.ServerState] = {}
        self.data_centre_by_server: dict[str, str] = {}
        self.outcomes = outcomes.Outcomes()
        self.slots = 0
        self.running = 0
        self._estimate_by_server: dict[str, engine_estimate.EngineEstimate] = {}
        self._holders = recent_holders.RecentHolders(max_parts=_MAX_PARTS)
        # Servers that may get work and have a free slot.
        self._with_free_slot: indexed_set.IndexedSet[str] = (
            indexed_set.IndexedSet()
        )
        # Shared estimate of all engines without a request so far; nothing is
        # ever started at it.
        self._idle_estimate = self._make_estimate(slots=1)

    def __len__(self) -> int:
        """Return how many servers may get work."""
        return len(self.state_by_server)

    def __contains__(self, server: str) -> bool:
        """Return whether a server may get work."""
        return server in self.state_by_server

    @property
    def share(self) -> float:
        """Share of every engine that may be used."""
        return self._share

    def set_share(self, share: float) -> None:
        """Set the share of every engine that may be used."""
        if share == self._share:
            return
        self._share = share
        for server in self._estimate_by_server:
            self._update_free_slot(server)

    def _update_free_slot(self, server: str) -> None:
        has_slot = self.find(server).has_slot(self._share)
        self._with_free_slot.put(
            server, is_member=has_slot and server in self.state_by_server
        )

    def _make_estimate(self, *, slots: int) -> engine_estimate.EngineEstimate:
        return engine_estimate.EngineEstimate(
            slots=slots,
            kv_tokens=self._kv_tokens,
            speed=prefill_speed.EngineSpeed(service=self._speed),
        )

    def replace_all(self, states: Iterable[server_state.ServerState]) -> None:
        """Set the whole list of servers that may get work."""
        listed = {state.name: state for state in states}
        for name in self.state_by_server.keys() - listed.keys():
            self.drop(name)
        for state in listed.values():
            self.put(state)

    def put(self, state: server_state.ServerState) -> None:
        """Add or update a server that may get work.

        A new server instance starts with an empty cache and no requests.
        """
        previous = self.state_by_server.get(state.name)
        if previous == state:
            return
        if previous is not None:
            self._subtract(previous)
            if previous.born != state.born:
                self._estimate_by_server.pop(state.name, None)
        self.state_by_server[state.name] = state
        self.data_centre_by_server[state.name] = state.data_centre
        self.slots += state.slots
        estimate = self._estimate_by_server.get(state.name)
        if estimate is not None:
            estimate.slots = state.slots
            self.running += estimate.running
        self._update_free_slot(state.name)

    def drop(self, server: str) -> None:
        """Remove a server, which gets no more work."""
        state = self.state_by_server.get(server)
        if state is None:
            return
        self._subtract(state)
        del self.state_by_server[server]
        del self.data_centre_by_server[server]
        self._with_free_slot.discard(server)
        self._drop_if_idle(server)

    def _subtract(self, state: server_state.ServerState) -> None:
        self.slots -= state.slots
        self.running -= self.find(state.name).running

    def _drop_if_idle(self, server: str) -> None:
        estimate = self._estimate_by_server.get(server)
        if server in self.state_by_server:
            return
        if estimate is None or not estimate.running:
            self._estimate_by_server.pop(server, None)
            self.outcomes.forget(server)

    def find(self, server: str) -> engine_estimate.EngineEstimate:
        """Return the estimate of a server; not to be changed by callers."""
        return self._estimate_by_server.get(server, self._idle_estimate)

    def find_candidates(self, rng: random.Random) -> list[str]:
        """Return the servers that a scheduling round considers."""
        if len(self.state_by_server) <= _MAX_SCANNED:
            return list(self.state_by_server)
        with_free_slot = self._with_free_slot.items
        count = len(with_free_slot)
        if count <= _SAMPLE_SIZE:
            return list(with_free_slot)
        return [
            with_free_slot[int(rng.random() * count)]
            for _ in range(_SAMPLE_SIZE)
        ]

    def find_holders(self, parts: Sequence[job.Part]) -> list[str]:
        """Return servers that may have parts of a prompt cached."""
        if len(self.state_by_server) <= _MAX_SCANNED:
            return list(self.state_by_server)
        return self._holders.find(parts)

    def count_cached(self, parts: Sequence[job.Part]) -> int:
        """Return the most tokens of a prompt that one engine has cached."""
        return max(
            (
                self.find(server).cache.count_cached(parts)
                for server in self.find_holders(parts)
                if server in self.state_by_server
            ),
            default=0,
        )

    def find_min_wait(self, rng: random.Random, now: float) -> float:
        """Return the fewest seconds of prefill ahead of a new request."""
        return min(
            (
                self.find(server).prefill_wait(now)
                for server in self.find_candidates(rng)
            ),
            default=0.0,
        )

    def start(
        self,
        work: job.Job,
        server: str,
        now: float,
        *,
        ahead: float | None,
        saved: float,
    ) -> bool:
        """Record a start at a server; return whether the server is known."""
        estimate = self._estimate_by_server.get(server)
        state = self.state_by_server.get(server)
        if estimate is None:
            if state is None:
                return False
            estimate = self._make_estimate(slots=state.slots)
            self._estimate_by_server[server] = estimate
        estimate.start(work, now, ahead=ahead, saved=saved)
        self._holders.note(work.parts, server)
        if state is not None:
            self.running += 1
            self._update_free_slot(server)
        return True

    def end(self, server: str, key: str, now: float) -> None:
        """Record that a request ended at a server."""
        estimate = self._estimate_by_server.get(server)
        if estimate is None or key not in estimate:
            return
        estimate.end(key, now)
        if server in self.state_by_server:
            self.running -= 1
            self._update_free_slot(server)
        else:
            self._drop_if_idle(server)

    def note_first_token(
        self,
        server: str,
        key: str,
        now: float,
        *,
        learn: bool,
        late: bool = False,
    ) -> None:
        """Record the first token of a request; see ``EngineEstimate``."""
        estimate = self._estimate_by_server.get(server)
        if estimate is not None:
            estimate.note_first_token(key, now, learn=learn, late=late)

    def note_pace(
        self,
        server: str,
        key: str,
        *,
        events: int,
        seconds: float,
        longest: float,
        now: float,
    ) -> None:
        """Learn from an answer that has just ended; see ``EngineEstimate``."""
        estimate = self._estimate_by_server.get(server)
        if estimate is not None:
            estimate.note_pace(
                key, events=events, seconds=seconds, longest=longest, now=now
            )

    def find_running(self, router: str) -> list[tuple[str, str]]:
        """Return server and key of a router's requests."""
        return [
            (server, key)
            for server, estimate in self._estimate_by_server.items()
            for key in estimate.find_running(router)
        ]

    def find_overdue(self, now: float) -> list[tuple[str, str]]:
        """Return server and key of requests that are past their deadline."""
        return [
            (server, key)
            for server, estimate in self._estimate_by_server.items()
            for key in estimate.find_overdue(now)
        ]
