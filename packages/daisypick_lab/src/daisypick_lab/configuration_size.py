"""Memory use of a configuration on a node, and transfer size of one change.

Usage: ``python -m daisypick_lab.configuration_size`` prints a line for each
number of organisations. The last line has the size of the reference fleet.
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

REFERENCE_ORGANISATIONS = 22_000
REFERENCE_SERVERS = 3_300
REFERENCE_DATA_CENTRES = 12
REFERENCE_MODELS = 12
REFERENCE_CHANGES_PER_SECOND = 12_000 / 86_400
CHANGES = 10
_MEGABYTE = 1e6


class Size(typing.NamedTuple):
    """Measurements for one number of organisations.

    Attributes:
        organisations: Number of organisations; the number of backend servers
            is proportional to it.
        chunks: Number of chunks of the whole configuration.
        whole: Encoded size of the whole configuration, megabytes.
        change: Mean size of a response with one change, bytes.
        change_ms: Mean processor time to apply such a response, milliseconds.
        load_seconds: Processor time to load the whole configuration, seconds.
        memory: Memory that the holder uses, megabytes.
    """

    organisations: int
    chunks: int
    whole: float
    change: float
    change_ms: float
    load_seconds: float
    memory: float


def make_configuration(organisations: int) -> model.Configuration:
    """Return a configuration with the proportions of the reference fleet."""
    servers = organisations * REFERENCE_SERVERS // REFERENCE_ORGANISATIONS
    return sections.make_configuration(
        1,
        {
            "organisations": dict(
                _organisation(number) for number in range(organisations)
            ),
            "backend_servers": dict(_server(n) for n in range(servers)),
            "services": {
                f"service-{n}": model.Service(f"service-{n}", model="m")
                for n in range(REFERENCE_MODELS)
            },
            "data_centres": {
                f"dc-{n}": model.DataCentre(f"dc-{n}")
                for n in range(REFERENCE_DATA_CENTRES)
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
        service=f"service-{number % REFERENCE_MODELS}",
        data_centre=f"dc-{number % REFERENCE_DATA_CENTRES}",
        address=f"{host}:8000",
        agent=f"{host}:9000",
        slots=64,
        cold_slots=4,
    )


def measure(organisations: int) -> Size:
    """Measure loading a configuration into a holder and changing it."""
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
        new_tree = chunks.split(configuration)
        response = wire.RootResponse(
            _root(generation, new_tree),
            {
                key: chunk
                for key, chunk in new_tree.chunk_by_hash.items()
                if key not in tree.chunk_by_hash
            },
        )
        tree = new_tree
        encoded = wire.encode_response(response)
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
    retained, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return retained / _MEGABYTE


def _load(
    holder: distribution.ConfigurationHolder, first: bytes, data: bytes
) -> float:
    started = time.process_time()
    response = wire.decode_response(first)
    response = response._replace(chunk_by_hash=wire.decode_chunks(data))
    holder.receive_root(actions.OPERATOR, response, 0.0)
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
    """Print a table of measurements by number of organisations."""
    print("organisations chunks whole-MB change-B change-ms load-s memory-MB")
    for organisations in (
        2_750,
        5_500,
        11_000,
        16_500,
        REFERENCE_ORGANISATIONS,
    ):
        size = measure(organisations)
        print(
            f"{size.organisations:13} {size.chunks:6} {size.whole:8.2f} "
            f"{size.change:8.0f} {size.change_ms:9.2f} "
            f"{size.load_seconds:6.2f} {size.memory:9.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
