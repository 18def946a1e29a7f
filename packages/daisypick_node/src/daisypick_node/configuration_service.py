"""Distributes configurations between processes over HTTP.

A few processes of each data centre watch the store for changes. Each process
derives these watchers from the members that it considers alive.

See Also:
    ``daisypick_core.configuration.distribution``: the decisions.
    ``daisypick_node.configuration_routes``: the routes for other processes.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
import typing
import urllib.parse

import gevent
import gevent.pool

from daisypick_core.configuration import distribution
from daisypick_core.configuration import distribution_actions as actions
from daisypick_core.configuration import model
from daisypick_core.configuration import rounds
from daisypick_core.configuration import wire
from daisypick_core.fairness import placement
from daisypick_core.membership import directory as member_directory
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import configuration_routes
from daisypick_node import configuration_store
from daisypick_node import logs
from daisypick_node.http import peers as peers_module
from daisypick_node.http import routes
from daisypick_node.platform import interface

WATCHERS_PER_ROLE = 2
WATCH_SECONDS = 25.0
WATCH_PAUSE = 2.0
TICK_SECONDS = 0.5
MEMBERS_UPDATE_SECONDS = 5.0
MEMBERS_PER_NOTICE = 4
MAX_ROUTERS_LISTED = 200

_log = logs.PartLog("configuration")


class ConfigurationService:
    """Performs the actions of one process's configuration holder.

    Attributes:
        holder: The configuration, and the decisions about its distribution.
        directory: The members known to this process.
    """

    def __init__(
        self,
        *,
        role: str,
        data_centre: str,
        seeds: Iterable[str],
        platform: interface.PlatformClient,
        peers: peers_module.Peers,
        install: Callable[[model.Configuration], None],
        clock: Callable[[], float],
        rng: random.Random,
        limits: rounds.DistributionLimits = rounds.DEFAULT_LIMITS,
        watch_seconds: float = WATCH_SECONDS,
    ) -> None:
        self.holder = distribution.ConfigurationHolder(rng=rng, limits=limits)
        self._own = member_directory.Member(
            address="", role=role, data_centre=data_centre
        )
        self.directory = member_directory.Directory(own=self._own)
        self._seeds = tuple(seeds)
        self._platform = platform
        self._peers = peers
        self._install = install
        self._clock = clock
        self._rng = rng
        self._watch_seconds = watch_seconds
        self._greenlets = gevent.pool.Group()
        self._installed = 0
        self._next_members_update = 0.0
        self._listed = model.EMPTY.backend_servers_by_name
        self._version = ""

    def start(self, address: str) -> None:
        """Fetch the configuration and start to follow its changes.

        Args:
            address: ``host:port`` of this process, known once it listens.
        """
        self._own = self._own._replace(address=address)
        self.directory = member_directory.Directory(own=self._own)
        now = self._clock()
        self._update_members(now)
        self._perform(self.holder.start(now))
        self._greenlets.spawn(self._tick_forever)
        self._greenlets.spawn(self._watch_forever)

    def stop(self) -> None:
        """Stop following changes."""
        self._greenlets.kill()

    def note_contact(self, peer: str, generation: int) -> None:
        """Record a peer's generation, received in a request or response."""
        now = self._clock()
        self.directory.record_contact(peer, now)
        self._perform(self.holder.record_contact(peer, generation, now))

    def handlers(self) -> routes.Routes:
        """Return the handlers by route."""
        return configuration_routes.ConfigurationRoutes(
            holder=self.holder,
            receive_notice=self._receive_notice,
            make_notice=self._make_notice,
            receive_offer=self._receive_offer,
        ).handlers()

    def describe(self) -> dict[str, typing.Any]:
        """Return the state for a state dump."""
        now = self._clock()
        members = self.directory.members(now)
        return {
            **self.holder.describe(),
            "is_watcher": self.is_watcher(),
            "members": len(members),
            "routers": self._routers(members),
        }

    def _routers(self, members: list[member_directory.Member]) -> list[str]:
        routers = sorted(
            member.address
            for member in members
            if member.role == member_directory.ROUTER
        )
        return routers[:MAX_ROUTERS_LISTED]

    def _perform(self, due: Iterable[actions.Action]) -> None:
        """Perform actions; each one that blocks runs in its own greenlet."""
        for action in due:
            if isinstance(action, actions.Activate):
                if "backend_servers" in action.changed_by_section:
                    self._update_members(self._clock())
            elif isinstance(action, actions.Reject):
                _log.say(
                    "Rejected a configuration.",
                    source=action.source,
                    reason=action.failure.reason,
                )
            else:
                self._greenlets.spawn(self._send, action)
        # Until the start is complete, a higher generation may be known.
        # Serving with a lower one would temporarily revert a change.
        if self.holder.is_ready and self.holder.generation > self._installed:
            self._installed = self.holder.generation
            self._install(self.holder.configuration)

    def _send(self, action: actions.Action) -> None:
        if isinstance(action, actions.Notify):
            self._notify(action.peer)
        elif isinstance(action, actions.FetchRoot):
            response = self._fetch_root(action)
            self._note_outcome(action.source, response)
            due = self.holder.receive_root(
                action.source, response, self._clock()
            )
            self._perform(due)
        elif isinstance(action, actions.FetchChunks):
            chunk_by_hash = self._fetch_chunks(action)
            self._note_outcome(action.source, chunk_by_hash)
            self._receive_chunks(action.source, chunk_by_hash)
        elif isinstance(action, actions.FetchPack):
            pack = configuration_store.read_pack(self._platform, action.name)
            self._receive_chunks(actions.STORE, pack)

    def _receive_chunks(
        self,
        source: str,
        chunk_by_hash: dict[str, bytes] | failure_value.Failure,
    ) -> None:
        now = self._clock()
        self._perform(self.holder.receive_chunks(source, chunk_by_hash, now))

    def _fetch_root(
        self, action: actions.FetchRoot
    ) -> wire.RootResponse | failure_value.Failure:
        if action.source == actions.STORE:
            return self._read_stored_root()
        query = urllib.parse.urlencode({"have": action.have})
        path = f"{configuration_routes.ROOT}?{query}"
        data = self._call(action.source, "GET", path)
        if failure_value.is_failure(data):
            return data
        return wire.decode_response(data)

    def _read_stored_root(self) -> wire.RootResponse | failure_value.Failure:
        stored = configuration_store.read_root(self._platform)
        if not failure_value.is_failure(stored):
            return wire.RootResponse(root=stored.root, chunk_by_hash={})
        if stored.code == codes.NOT_FOUND:
            return wire.RootResponse(root=None, chunk_by_hash={})
        return stored

    def _fetch_chunks(
        self, action: actions.FetchChunks
    ) -> dict[str, bytes] | failure_value.Failure:
        if action.source == actions.OPERATOR:
            return failure_value.Failure(
                code=codes.NOT_FOUND, reason="offer: chunks are missing"
            )
        path = configuration_routes.CHUNK + ",".join(action.hashes)
        data = self._call(action.source, "GET", path)
        if failure_value.is_failure(data):
            return data
        return wire.decode_chunks(data)

    def _notify(self, peer: str) -> None:
        data = self._call(
            peer, "POST", configuration_routes.NOTICE, self._make_notice()
        )
        self._note_outcome(peer, data)
        notice = peers_module.decode(data, configuration_routes.Notice)
        if not failure_value.is_failure(notice):
            self._receive_notice(notice)

    def _call(
        self, address: str, method: str, path: str, message: object = None
    ) -> bytes | failure_value.Failure:
        """Call a peer; its address comes from a message and may be invalid."""
        try:
            return self._peers.call(address, method, path, message)
        except ValueError as error:
            return failure_value.Failure(
                code=codes.PEER_UNREACHABLE, reason=str(error)
            )

    def _receive_offer(self, response: wire.RootResponse) -> None:
        now = self._clock()
        due = self.holder.receive_root(actions.OPERATOR, response, now)
        self._perform(due)

    def _note_outcome(self, source: str, outcome: object) -> None:
        if source in (actions.STORE, actions.OPERATOR):
            return
        if failure_value.is_failure(outcome):
            self.directory.record_failure(source, self._clock())
        else:
            self.directory.record_contact(source, self._clock())

    def _make_notice(self) -> configuration_routes.Notice:
        return configuration_routes.Notice(
            member=self._own,
            generation=self.holder.generation,
            members=self.directory.sample(
                self._rng, MEMBERS_PER_NOTICE, self._clock()
            ),
        )

    def _receive_notice(self, notice: configuration_routes.Notice) -> None:
        now = self._clock()
        self.directory.record_member(notice["member"], now)
        for gossip_entry in notice["members"]:
            self.directory.record_member(
                gossip_entry.member, now, age=gossip_entry.age
            )
        peer = notice["member"].address
        self._perform(
            self.holder.record_contact(peer, notice["generation"], now)
        )

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            now = self._clock()
            if now >= self._next_members_update:
                self._update_members(now)
            self._perform(self.holder.tick(now))

    def _update_members(self, now: float) -> None:
        """Update the directory and the holder's peers."""
        self._next_members_update = now + MEMBERS_UPDATE_SECONDS
        self.directory.forget_old(now)
        self._update_listed_agents()
        members = self.directory.members(now)
        near = [
            member.address
            for member in members
            if member.data_centre == self._own.data_centre
        ]
        addresses = {member.address for member in members}
        addresses.update(self._seeds)
        addresses.discard(self._own.address)
        self.holder.set_peers(sorted(addresses), near)

    def _update_listed_agents(self) -> None:
        """Update the listed agents if the configuration has changed."""
        servers = self.holder.configuration.backend_servers_by_name
        if servers is self._listed:
            return
        self._listed = servers
        self.directory.set_listed(
            member_directory.Member(
                address=server.agent,
                role=member_directory.AGENT,
                data_centre=server.data_centre,
                service=server.service,
            )
            for server in servers.values()
        )

    def is_watcher(self) -> bool:
        """Return whether this process is chosen to watch the store."""
        now = self._clock()
        live = self.directory.live(self._own.role, self._own.data_centre, now)
        key = f"configuration/{self._own.role}/{self._own.data_centre}"
        chosen = placement.ranked(key, live)[:WATCHERS_PER_ROLE]
        return self._own.address in chosen

    def _watch_forever(self) -> None:
        while True:
            if not self.is_watcher():
                gevent.sleep(MEMBERS_UPDATE_SECONDS)
                continue
            stored = self._platform.watch(
                configuration_store.KIND,
                configuration_store.ROOT,
                after_version=self._version,
                timeout=self._watch_seconds,
            )
            if failure_value.is_failure(stored):
                gevent.sleep(WATCH_PAUSE * (0.5 + self._rng.random()))
            elif stored is not None:
                self._receive_watched_root(stored)

    def _receive_watched_root(self, stored: interface.StoredObject) -> None:
        self._version = stored.version
        decoded = configuration_store.decode_root(stored)
        response: wire.RootResponse | failure_value.Failure = decoded
        if not failure_value.is_failure(decoded):
            response = wire.RootResponse(root=decoded.root, chunk_by_hash={})
        now = self._clock()
        self._perform(self.holder.receive_root(actions.STORE, response, now))
