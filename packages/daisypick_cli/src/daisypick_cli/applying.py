"""Bring a folder, or one change, into force.

An apply replaces the whole stored configuration, so a folder that lacks what
another operator has applied would undo it. Therefore an apply compares three
configurations: what this folder applied last, what is stored now, and the
folder. What others changed in between and the folder would undo is a
conflict, told key by key; after their files are merged into the folder, the
same apply goes through.
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

_RACES = 10


class Applied(typing.NamedTuple):
    """A change that is in force, or on its way.

    Attributes:
        generation: Its generation.
        is_new: ``False`` if there was nothing to change.
        changes: What it changed.
        told: Processes that were told of it and have it.
        asked: Processes that were asked to take it.
    """

    generation: int
    is_new: bool
    changes: tuple[difference.Change, ...]
    told: int
    asked: int


Outcome = Applied | publication.Conflict | failure_value.Failure


class Applier:
    """Applies to one platform and its fleet.

    Attributes:
        publisher: Writes to the store.
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
        """Put a folder's configuration in force.

        Args:
            path: The folder, for its record.
            wanted: Its configuration.
            overwrite: Generation up to which changes of others may be
                undone.
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
            return self._spread(outcome, stored.configuration, wanted)
        return outcome

    def set_data_centre(self, name: str, *, is_in: bool) -> Outcome:
        """Take a data centre out, or in, and change nothing else.

        A race is no conflict here, unless another one wants the same data
        centre otherwise: the change is made again on top of the new state.
        """
        seen: bool | None = None
        outcome: Outcome = failure_value.Failure(
            code=codes.CONFIGURATION_CONFLICT, reason="lost every race"
        )
        for _ in range(_RACES):
            stored = self.publisher.read()
            if failure_value.is_failure(stored):
                return stored
            entry = stored.configuration.data_centres_by_name.get(name)
            if entry is None:
                return failure_value.Failure(
                    code=codes.DANGLING_NAME,
                    reason=f"no data centre {name!r} is in force",
                )
            if seen not in (None, entry.is_in):
                return outcome
            seen = entry.is_in
            wanted = _with_data_centre(
                stored.configuration, entry._replace(is_in=is_in)
            )
            outcome = self._publish(wanted, stored)
            if isinstance(outcome, publication.Published):
                return self._spread(
                    outcome, stored.configuration, wanted, urgent=name
                )
            if not isinstance(outcome, publication.Conflict):
                return outcome
        return outcome

    def _publish(
        self,
        wanted: model.Configuration,
        stored: configuration_store.StoredConfiguration,
    ) -> publication.Outcome:
        floor = 0
        if self._processes is not None:
            known = fleet.choose(stored.configuration, 1)
            floor = fleet.highest(
                self._processes.each(self._processes.generation, known)
            )
        return self.publisher.publish(wanted, stored, floor=floor)

    def _spread(
        self,
        published: publication.Published,
        before: model.Configuration,
        wanted: model.Configuration,
        *,
        urgent: str = "",
    ) -> Applied:
        """Tell some processes, so that the store is not needed any more.

        Args:
            published: What was accepted.
            before: The configuration before it.
            wanted: The configuration that was accepted.
            urgent: A data centre whose agents are all told. They are the
                gates: once they know, nothing new starts there, whatever the
                rest of the fleet still believes.
        """
        told = asked = 0
        if self._processes is not None:
            offer = wire.RootAnswer(
                root=published.root, chunk_by_hash=published.chunk_by_hash
            )
            addresses = fleet.choose(wanted, fleet.TOLD_PER_DATA_CENTRE)
            addresses += [
                server.agent
                for server in wanted.backend_servers_by_name.values()
                if server.data_centre == urgent
                and server.agent not in addresses
            ]
            replies = self._processes.each(
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
        undone = difference.find_overwritten(base, current, wanted)
        reason = "the folder would undo what others changed"
    else:
        undone = difference.find_changes(wanted, current)
        reason = "it is not known what this folder applied last"
    if not undone:
        return None
    return publication.Conflict(
        failure=failure_value.Failure(
            code=codes.CONFIGURATION_CONFLICT, reason=reason
        ),
        generation=current.generation,
        changes=tuple(undone),
    )


def _find_base(
    record: root_object.Root | None,
    stored: configuration_store.StoredConfiguration,
) -> model.Configuration | None:
    """Return what the folder applied last, if the store still has it."""
    if record is None:
        return None
    if record.top == stored.root.top:
        return stored.configuration
    base = chunks.join(record.generation, record.top, stored.chunk_by_hash)
    return None if failure_value.is_failure(base) else base
