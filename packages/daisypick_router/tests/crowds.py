"""Crowds of clients that hold a router's memory and descriptors.

Each client sends bytes of legal size and keeps its connection open. The router
runs in a process of its own, beside callers that make ordinary requests.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import os
import pathlib
import time
import typing

import fakes
import gevent
from gevent import socket
import slow_peers

MEMORY_MB = 128
HEADER_BYTES = 16_384
BODY_BYTES = 4 << 20
# Time that the clients get to send, and then stay open.
_SEND_SECONDS = 12.0
_STAY_SECONDS = 4.0
_WATCH_SECONDS = 0.02


class Crowd(typing.NamedTuple):
    """Clients that send the same kind of bytes.

    Attributes:
        clients: Number of connections.
        write: Returns what the client of a number sends.
        piece: Bytes that a client sends at once.
        body: What all clients send after that, of which there is one copy.
    """

    clients: int
    write: Callable[[int], bytes]
    piece: int = 65_536
    body: bytes = b""


class Result(typing.NamedTuple):
    """What was seen of the router's process.

    Attributes:
        lives: Whether it still ran at the end.
        peak_mb: The highest sum of its resident memory and of what it had
            received and not read.
        peak_files: The most open descriptors.
        beside: Statuses of ordinary requests made beside the crowd.
        after: Status of an ordinary request made after it.
    """

    lives: bool
    peak_mb: float
    peak_files: int
    beside: list[int]
    after: int


def write_head(
    *lines: bytes, path: str = "/look/1", key: str = fakes.KEY
) -> bytes:
    """Return an incomplete head with further lines."""
    start = (
        f"POST {path} HTTP/1.1\r\nHost: {fakes.HOST}\r\n"
        f"Daisypick-Attempt-Id: c\r\nX-Api-Key: {key}\r\n"
        "Daisypick-Deadline-Ms: 9000\r\nDaisypick-Token-Counts: 9,9\r\n"
    ).encode()
    return start + b"".join(line + b"\r\n" for line in lines)


def fill_head(line: bytes, *, size: int = HEADER_BYTES - 1000) -> bytes:
    """Return copies of a header line of a size in all."""
    return (line + b"\r\n") * (size // (len(line) + 2))


def write_chunks(size: int, chunk: int) -> bytes:
    """Return a chunked body without its last chunk."""
    one = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    return one * (size // chunk)


def make_store():
    """Return a store with limits of usual size."""
    store = fakes.FakeStore()
    manifest = fakes.make_manifest()
    manifest["Limits"] |= {
        "HeaderBytes": HEADER_BYTES,
        "BodyBytes": BODY_BYTES,
        "HeaderTimeoutMs": 3000,
    }
    manifest["Tenants"] += [
        {"Name": f"o-{n}", "ApiKeys": [f"key-{n}"]} for n in range(64)
    ]
    for route in manifest["Routes"]:
        route["TimeoutMs"] = 9000
    store.put("config", "main", manifest)
    return store


@contextlib.contextmanager
def run_router(store, *, pressure=False):
    """Run a router; yield its caller address and the id of its process."""
    with slow_peers.run_process(
        store, memory_mb=MEMORY_MB, pressure=pressure
    ) as found:
        yield found


def play(
    crowd: Crowd, *, script=fakes.answer_ok, pressure=False, services=("desk",)
) -> Result:
    """Play a crowd at a router with two servers of each service."""
    store = make_store()
    servers = [
        fakes.FakeServer(f"{service}-{n}", service, script)
        for service in services
        for n in range(2)
    ]
    for server in servers:
        store.put("servers", server.name, server.describe(Slots=64))
    try:
        with run_router(store, pressure=pressure) as (address, pid):
            return _play(crowd, address, pid)
    finally:
        store.server.stop()
        for server in servers:
            server.server.stop()


def _play(crowd: Crowd, address: tuple[str, int], pid: int) -> Result:
    samples: list[tuple[float, int]] = []
    beside: list[int] = []
    others = [
        gevent.spawn(_watch, pid, address[1], samples),
        gevent.spawn(_call_beside, address, beside),
    ]
    sockets: list[socket.socket] = []
    clients = [
        gevent.spawn(_run_client, crowd, number, address, sockets)
        for number in range(crowd.clients)
    ]
    gevent.joinall(clients, timeout=_SEND_SECONDS)
    gevent.sleep(_STAY_SECONDS)
    gevent.killall(clients)
    for client in sockets:
        client.close()
    gevent.killall(others)
    lives = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes() != b""
    after = _call_until_answered(address)
    peak_mb = max(max(mb for mb, _ in samples), find_peak_resident_mb(pid))
    return Result(
        lives=lives,
        peak_mb=peak_mb,
        peak_files=max(files for _, files in samples),
        beside=beside,
        after=after,
    )


def _run_client(
    crowd: Crowd,
    number: int,
    address: tuple[str, int],
    sockets: list[socket.socket],
) -> None:
    # The router may refuse the client at any moment.
    with contextlib.suppress(OSError):
        client = socket.create_connection(address, timeout=_SEND_SECONDS)
        sockets.append(client)
        for piece in _divide(crowd.write(number), crowd.body, crowd.piece):
            client.sendall(piece)
            gevent.sleep(0)


def _divide(head: bytes, body: bytes, size: int) -> Iterator[memoryview]:
    """Yield the pieces of a head and its body, as if they were one value."""
    used = -len(head) % size
    first = memoryview(head + body[:used])
    for start in range(0, len(first), size):
        yield first[start : start + size]
    rest = memoryview(body)[used:]
    for start in range(0, len(rest), size):
        yield rest[start : start + size]


def _watch(pid: int, port: int, samples: list[tuple[float, int]]) -> None:
    while True:
        own, _ = slow_peers.find_memory_mb(pid, port)
        unread = _find_unread_mb(port)
        files = len(os.listdir(f"/proc/{pid}/fd"))
        samples.append((own + unread, files))
        gevent.sleep(_WATCH_SECONDS)


def _find_unread_mb(port: int) -> float:
    """Return what the kernel keeps of callers' bytes that were not read."""
    suffix = f":{port:04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return sum(
        int(line.split()[4].split(":")[1], 16) / 1e6
        for line in lines
        if line.split()[1].endswith(suffix) and line.split()[3] != "0A"
    )


def find_peak_resident_mb(pid: int) -> float:
    """Return the most memory that a process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmHWM")]
    return int(line.split()[1]) * 1024 / 1e6


def _call_beside(address: tuple[str, int], statuses: list[int]) -> None:
    for number in itertools.count():
        statuses.append(call(address, f"n-{number}"))
        gevent.sleep(0.1)


def call(address: tuple[str, int], attempt: str) -> int:
    """Make an ordinary request; return its status, or zero without one."""
    request = fakes.write_request(
        "/look/small", attempt=attempt, patience="9000"
    )
    return send_in_pieces(address, request, len(request), seconds=10.0)


def send_in_pieces(
    address: tuple[str, int], request: bytes, piece: int, seconds: float = 60.0
) -> int:
    """Send a request; return the status of its answer, or zero."""
    rest = memoryview(request)
    try:
        with socket.create_connection(address, timeout=seconds) as caller:
            for start in range(0, len(rest), piece):
                caller.sendall(rest[start : start + piece])
                gevent.sleep(0)
            return fakes.read_answer(caller).status
    except (OSError, AttributeError):
        return 0


def _call_until_answered(address: tuple[str, int]) -> int:
    """Make ordinary requests until one is answered with success."""
    until = time.monotonic() + 20.0
    status = 0
    while status != 200 and time.monotonic() < until:
        status = call(address, "after")
        gevent.sleep(0.1)
    return status
