"""Apply a folder, or a single change, to the stored configuration.

An apply replaces the whole stored configuration, so a folder that lacks what
another operator has applied would revert it. An apply is therefore a
three-way comparison of the configuration that this folder applied last, the
stored one and the folder. Changes by others that the folder would revert are
a conflict, listed key by key. Once their files are merged into the folder,
the same apply succeeds.
"""

import pathlib
import typing

from daisypick_cli import folder as folder_files
from daisypick_cli import processes as fleet
from daisypick_cli import publication
from daisypick_core.configuration import chunks
from daisypick_core.configuration import difference
from daisypick_core.configuration import model
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import wire
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import configuration_store

_MAX_ATTEMPTS = 10


class Applied(typing.NamedTuple):
    """A change that the store has accepted.

    Attributes:
        generation: Its generation.
        is_new: ``False`` if there was nothing to change.
        changes: Differences from the configuration before it.
        told: Notified processes that have confirmed the generation.
        asked: Processes that were notified.
    """

    generation: int
    is_new: bool
    changes: tuple[difference.Change, ...]
    told: int
    asked: int


Outcome = Applied | publication.Conflict | failure_value.Failure


class Applier:
    """Applies configurations to one platform and its fleet.

    Attributes:
        publisher: Reads from and writes to the store.
    """

    def __init__(
        self,
        *,
        publisher: publication.Publisher,
        processes: fleet.Processes | None,
    ) -> None:
        self.publisher = publisher
        self._processes = processes

    def apply(
        self,
        path: pathlib.Path,
        wanted: model.Configuration,
        *,
        overwrite: int | None = None,
    ) -> Outcome:
        """Apply the configuration of a folder.

        Args:
            path: The folder, which holds the record of its last apply.
            wanted: The folder's configuration.
            overwrite: Generation up to which changes by others may be
                reverted.
        """
        stored = self.publisher.read()
        if failure_value.is_failure(stored):
            return stored
        conflict = _find_conflict(
            folder_files.read_record(path), stored, wanted
        )
        if conflict is not None and conflict.generation != overwrite:
            return conflict
        outcome = self._publish(wanted, stored)
        if isinstance(outcome, publication.Published):
            folder_files.write_record(path, outcome.root)
            return self._notify_processes(outcome, stored.configuration, wanted)
        return outcome

    def set_data_centre(self, name: str, *, is_in: bool) -> Outcome:
        """Take a data centre out of or into service; change nothing else.

        A concurrent write is no conflict here, unless it changes the state
        of the same data centre: the change is retried on top of it.
        """
        seen_state: bool | None = None
        outcome: Outcome = failure_value.Failure(
            code=codes.CONFIGURATION_CONFLICT,
            reason="concurrent writes won every attempt",
        )
        for _ in range(_MAX_ATTEMPTS):
            stored = self.publisher.read()
            if failure_value.is_failure(stored):
                return stored
            entry = stored.configuration.data_centres_by_name.get(name)
            if entry is None:
                return failure_value.Failure(
                    code=codes.DANGLING_NAME,
                    reason=f"the store has no data centre {name!r}",
                )
            if seen_state not in (None, entry.is_in):
                return outcome
            seen_state = entry.is_in
            wanted = _with_data_centre(
                stored.configuration, entry._replace(is_in=is_in)
            )
            outcome = self._publish(wanted, stored)
            if isinstance(outcome, publication.Published):
                return self._notify_processes(
                    outcome, stored.configuration, wanted, notify_all_in=name
                )
            if not isinstance(outcome, publication.Conflict):
                return outcome
        return outcome

    def _publish(
        self,
        wanted: model.Configuration,
        stored: configuration_store.StoredConfiguration,
    ) -> publication.Outcome:
        known_generation = 0
        if self._processes is not None:
            known = fleet.choose_agents(stored.configuration, 1)
            known_generation = fleet.highest_generation(
                self._processes.call_each(self._processes.generation, known)
            )
        return self.publisher.publish(
            wanted, stored, known_generation=known_generation
        )

    def _notify_processes(
        self,
        published: publication.Published,
        before: model.Configuration,
        wanted: model.Configuration,
        *,
        notify_all_in: str = "",
    ) -> Applied:
        """Notify some processes, so that the change spreads without the store.

        Args:
            published: The accepted change.
            before: The configuration before it.
            wanted: The configuration that was accepted.
            notify_all_in: A data centre whose agents are all notified.
                Agents admit requests: once they have the change, nothing new
                starts there, even if other processes still have the old
                state.
        """
        told = asked = 0
        if self._processes is not None:
            offer = wire.RootResponse(
                root=published.root, chunk_by_hash=published.chunk_by_hash
            )
            addresses = fleet.choose_agents(
                wanted, fleet.NOTIFIED_PER_DATA_CENTRE
            )
            addresses += [
                server.agent
                for server in wanted.backend_servers_by_name.values()
                if server.data_centre == notify_all_in
                and server.agent not in addresses
            ]
            replies = self._processes.call_each(
                lambda address: self._processes.offer(address, offer),
                addresses,
            )
            asked = len(replies)
            told = sum(
                type(reply) is int and reply >= published.root.generation
                for reply in replies.values()
            )
        return Applied(
            generation=published.root.generation,
            is_new=published.is_new,
            changes=tuple(difference.find_changes(before, wanted)),
            told=told,
            asked=asked,
        )


def _with_data_centre(
    configuration: model.Configuration, entry: model.DataCentre
) -> model.Configuration:
    entries = dict(configuration.data_centres_by_name)
    entries[entry.name] = entry
    return configuration._replace(data_centres_by_name=entries)


def _find_conflict(
    record: root_object.Root | None,
    stored: configuration_store.StoredConfiguration,
    wanted: model.Configuration,
) -> publication.Conflict | None:
    if stored.root is None:
        return None
    current = stored.configuration
    base = _find_base(record, stored)
    if base is not None:
        reverted = difference.find_overwritten(base, current, wanted)
        reason = "the folder would revert changes by others"
    else:
        reverted = difference.find_changes(wanted, current)
        reason = "the configuration last applied from the folder is unknown"
    if not reverted:
        return None
    return publication.Conflict(
        failure=failure_value.Failure(
            code=codes.CONFIGURATION_CONFLICT, reason=reason
        ),
        generation=current.generation,
        changes=tuple(reverted),
    )


def _find_base(
    record: root_object.Root | None,
    stored: configuration_store.StoredConfiguration,
) -> model.Configuration | None:
    """Return the configuration applied last, if the store still has it."""
    if record is None:
        return None
    if record.top == stored.root.top:
        return stored.configuration
    base = chunks.join(record.generation, record.top, stored.chunk_by_hash)
    return None if failure_value.is_failure(base) else base
