"""The configuration: memory, bytes and time of a change."""

import functools
import random

import msgspec

from daisypick_core.configuration import chunks
from daisypick_core.configuration import model
from daisypick_core.configuration import root as root_module
from daisypick_core.configuration import spread
from daisypick_core.configuration import spread_actions
from daisypick_core.configuration import wire
from daisypick_core.membership import directory
from daisypick_lab.capacity import slopes
from daisypick_node import configuration_routes

_POINTS = (2_750, 5_500, 11_000, 22_000)
_SERVERS = 3_300


def make_configuration(
    organisations: int, *, generation: int = 1, share: float = 1.0
) -> model.Configuration:
    """Return a configuration of the given number of organisations."""
    names = [f"organisation-{n:05d}" for n in range(organisations)]
    by_name = {
        name: model.Organisation(name=name, key_hashes=(f"{n:064x}",))
        for n, name in enumerate(names)
    }
    by_name[names[0]] = by_name[names[0]]._replace(share=share)
    services = {f"model-{n}": model.Service(f"model-{n}") for n in range(12)}
    data_centres = {f"dc-{n}": model.DataCentre(f"dc-{n}") for n in range(12)}
    servers = {
        f"server-{n:04d}": model.BackendServer(
            name=f"server-{n:04d}",
            service=f"model-{n % 12}",
            data_centre=f"dc-{n // 12 % 12}",
            address=f"10.{n // 250}.{n % 250}.1:8000",
            agent=f"10.{n // 250}.{n % 250}.1:9000",
        )
        for n in range(_SERVERS)
    }
    return model.Configuration(
        generation=generation,
        organisations_by_name=by_name,
        services_by_name=services,
        backend_servers_by_name=servers,
        data_centres_by_name=data_centres,
    )


@functools.cache
def make_answer(
    organisations: int, generation: int, share: float
) -> wire.RootAnswer:
    """Return a configuration as it travels when nothing is held."""
    tree = chunks.split(
        make_configuration(organisations, generation=generation, share=share)
    )
    root = root_module.make_root(
        generation=generation, change_id=f"c{generation}", top=tree.top
    )
    return wire.RootAnswer(root=root, chunk_by_hash=tree.chunk_by_hash)


def make_holder(organisations: int, generation: int) -> spread.Holder:
    """Return a holder with a configuration in force."""
    holder = spread.Holder(rng=random.Random(1))
    answer = make_answer(organisations, generation, float(generation))
    encoded = wire.decode_answer(wire.encode_answer(answer))
    holder.take_root(spread_actions.OPERATOR, encoded, 0.0)
    return holder


def _change(organisations: int) -> bytes:
    """Return the answer that brings a holder from generation 1 to 2."""
    behind = make_holder(organisations, 1)
    ahead = make_holder(organisations, 1)
    ahead.take_root(
        spread_actions.OPERATOR, make_answer(organisations, 2, 2.0), 1.0
    )
    return wire.encode_answer(ahead.answer_root(behind.top))


@slopes.register(
    "configuration_memory",
    unit="bytes",
    against="organisations",
    points=_POINTS,
)
def configuration_memory(organisations: int) -> float:
    """Memory of a holder with its configuration in force."""
    make_answer(organisations, 1, 1.0)
    return slopes.memory_bytes(lambda: make_holder(organisations, 1))


@slopes.register(
    "configuration_change_bytes",
    unit="bytes",
    against="organisations",
    points=_POINTS,
)
def configuration_change_bytes(organisations: int) -> float:
    """Bytes that carry one organisation's change to a holder."""
    return float(len(_change(organisations)))


@slopes.register(
    "configuration_change_cpu",
    unit="seconds",
    against="organisations",
    points=_POINTS,
)
def configuration_change_cpu(organisations: int) -> float:
    """Processor time to take in one organisation's change."""
    change = _change(organisations)
    holders = [make_holder(organisations, 1) for _ in range(slopes.REPEATS)]

    def _take() -> None:
        holder = holders.pop()
        holder.take_root(
            spread_actions.OPERATOR, wire.decode_answer(change), 1.0
        )
        if holder.generation != 2:
            raise AssertionError("change: was not taken in")

    return slopes.cpu_seconds(_take)


def _make_member(number: int) -> directory.Member:
    return directory.Member(
        address=f"10.1.{number}.100:19000",
        role=directory.AGENT,
        data_centre="dc-11",
    )


@slopes.register(
    "notice_bytes",
    unit="bytes a notice and its answer",
    against="members told of",
    points=(1, 2, 4, 8),
)
def notice_bytes(members: int) -> float:
    """Bytes of an exchange of generations, without headers."""
    notice = configuration_routes.Notice(
        member=_make_member(0),
        generation=12_345,
        members=[
            directory.Sighting(member=_make_member(number), age=12.345678901)
            for number in range(members)
        ],
    )
    return 2.0 * len(msgspec.json.encode(notice))
