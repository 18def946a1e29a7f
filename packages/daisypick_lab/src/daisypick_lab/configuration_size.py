"""What a configuration weighs at a node, and what one change moves.

Usage: ``python -m daisypick_lab.configuration_size`` prints a line for each
number of organisations; the letter's size is the last one.
"""

import hashlib
import random
import time
import tracemalloc
import typing

from daisypick_core.configuration import chunks
from daisypick_core.configuration import distribution
from daisypick_core.configuration import distribution_actions as actions
from daisypick_core.configuration import model
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import sections
from daisypick_core.configuration import wire

LETTER_ORGANISATIONS = 22_000
LETTER_SERVERS = 3_300
LETTER_DATA_CENTRES = 12
LETTER_MODELS = 12
LETTER_CHANGES_PER_SECOND = 12_000 / 86_400
CHANGES = 10
_MEGABYTE = 1e6


class Size(typing.NamedTuple):
    """The figures of one number of organisations.

    Attributes:
        organisations: Organisations; backend servers grow with them.
        chunks: Chunks of the whole.
        whole: Megabytes of the whole on the wire.
        change: Mean bytes of an answer that brings one change.
        change_ms: Mean processor time to take it, milliseconds.
        load_seconds: Processor time to take the whole, seconds.
        memory: Megabytes that the holder keeps.
    """

    organisations: int
    chunks: int
    whole: float
    change: float
    change_ms: float
    load_seconds: float
    memory: float


def make_configuration(organisations: int) -> model.Configuration:
    """Return a configuration with the letter's proportions."""
    servers = organisations * LETTER_SERVERS // LETTER_ORGANISATIONS
    return sections.make_configuration(
        1,
        {
            "organisations": dict(
                _organisation(number) for number in range(organisations)
            ),
            "backend_servers": dict(_server(n) for n in range(servers)),
            "services": {
                f"service-{n}": model.Service(f"service-{n}", model="m")
                for n in range(LETTER_MODELS)
            },
            "data_centres": {
                f"dc-{n}": model.DataCentre(f"dc-{n}")
                for n in range(LETTER_DATA_CENTRES)
            },
        },
    )


def _organisation(number: int) -> tuple[str, model.Organisation]:
    name = f"organisation-{number:05}"
    key_hash = hashlib.sha256(name.encode()).hexdigest()
    share = float(1 + number % 16)
    return name, model.Organisation(name, share, key_hashes=(key_hash,))


def _server(number: int) -> tuple[str, model.BackendServer]:
    name = f"server-{number:04}"
    host = f"10.{number % 12}.{number // 250}.{number % 250}"
    return name, model.BackendServer(
        name=name,
        service=f"service-{number % LETTER_MODELS}",
        data_centre=f"dc-{number % LETTER_DATA_CENTRES}",
        address=f"{host}:8000",
        agent=f"{host}:9000",
        slots=64,
        cold_slots=4,
    )


def measure(organisations: int) -> Size:
    """Load a configuration into a holder, then change it a few times."""
    configuration = make_configuration(organisations)
    tree = chunks.split(configuration)
    first = wire.encode_response(wire.RootResponse(_root(1, tree), {}))
    data = wire.encode_chunks(tree.chunk_by_hash)
    memory = _measure_memory(first, data)
    holder = distribution.ConfigurationHolder(rng=random.Random(1))
    load_seconds = _load(holder, first, data)
    size = seconds = 0.0
    for generation in range(2, 2 + CHANGES):
        configuration = _change(configuration, generation)
        news = chunks.split(configuration)
        answer = wire.RootResponse(
            _root(generation, news),
            {
                key: chunk
                for key, chunk in news.chunk_by_hash.items()
                if key not in tree.chunk_by_hash
            },
        )
        tree = news
        encoded = wire.encode_response(answer)
        size += len(encoded)
        started = time.process_time()
        holder.receive_root("peer", wire.decode_response(encoded), 1.0)
        seconds += time.process_time() - started
        assert holder.generation == generation
    return Size(
        organisations=organisations,
        chunks=len(tree.chunk_by_hash),
        whole=len(data) / _MEGABYTE,
        change=size / CHANGES,
        change_ms=1000.0 * seconds / CHANGES,
        load_seconds=load_seconds,
        memory=memory,
    )


def _measure_memory(first: bytes, data: bytes) -> float:
    tracemalloc.start()
    holder = distribution.ConfigurationHolder(rng=random.Random(1))
    _load(holder, first, data)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept / _MEGABYTE


def _load(
    holder: distribution.ConfigurationHolder, first: bytes, data: bytes
) -> float:
    started = time.process_time()
    answer = wire.decode_response(first)
    answer = answer._replace(chunk_by_hash=wire.decode_chunks(data))
    holder.receive_root(actions.OPERATOR, answer, 0.0)
    assert holder.generation == 1
    return time.process_time() - started


def _root(generation: int, tree: chunks.Tree) -> root_object.Root:
    return root_object.make_root(
        generation=generation, change_id=f"{generation:016x}", top=tree.top
    )


def _change(
    configuration: model.Configuration, number: int
) -> model.Configuration:
    entries = dict(configuration.organisations_by_name)
    name = f"organisation-{number * 7:05}"
    entries[name] = entries[name]._replace(share=50.0 + number)
    return configuration._replace(organisations_by_name=entries)


def main() -> None:
    """Print the table."""
    print("organisations chunks whole-MB change-B change-ms load-s memory-MB")
    for organisations in (2_750, 5_500, 11_000, 16_500, LETTER_ORGANISATIONS):
        size = measure(organisations)
        print(
            f"{size.organisations:13} {size.chunks:6} {size.whole:8.2f} "
            f"{size.change:8.0f} {size.change_ms:9.2f} "
            f"{size.load_seconds:6.2f} {size.memory:9.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
