"""Slow callers and servers on real sockets, and a router in its own process.

``python slow_peers.py`` prints what ``docs/CAPACITY.md`` states: the peak
memory of a router and the times of normal callers beside slow ones.
"""

import contextlib
import os
import pathlib
import socket as plain_socket
import statistics
import subprocess
import sys
import tempfile
import time
import typing

import fakes
import gevent
from gevent import socket

BIG = 1_000_000
SLOW_KEY = "key-of-slow"
# The port of the metrics is fixed, so routers of concurrent tests have
# addresses of their own.
_IP = f"127.{64 + os.getpid() // 256 % 128}.{os.getpid() % 256}.1"
_SETTINGS = """\
NodeName = "r-1"
Ip = "{ip}"
Zone = "a"
InternalPorts = [{peer}]
Invariants = [{invariants}]
[Listen]
Front = "{ip}:{caller}"
Ready = "{ip}:{ready}"
[Limits]
CpuShare = 1.0
MaxFds = 4096
MemoryMb = {memory}
[Bounds]
GraceS = 3
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 56
[Provider]
Address = "{store}"
"""


class Result(typing.NamedTuple):
    """What callers and the router's process showed."""

    whole: int
    peak_mb: float
    peak_kernel_mb: float
    peak_sum_mb: float
    times: list[float]
    failed: int
    cut_by_server: int

    @property
    def p99(self) -> float:
        """The 99th percentile of normal callers' times in seconds."""
        return statistics.quantiles(self.times, n=100)[98]


def make_store():
    """Return a store with a second organisation, whose callers are slow."""
    store = fakes.FakeStore()
    manifest = fakes.make_manifest()
    manifest["Tenants"].append({"Name": "slow", "ApiKeys": [SLOW_KEY]})
    manifest["Limits"]["BodyBytes"] = 16_000_000
    store.put("config", "main", manifest)
    return store


def make_big_server(name, *, size=BIG, unread_seconds=3.0, port_cuts=None):
    """Return a server that cuts off a response that stays unread."""
    cuts = [] if port_cuts is None else port_cuts

    def _answer(server, connection, first, headers, body):
        if b"/big" not in first:
            fakes.answer_ok(server, connection, first, headers, body)
            return None
        data = fakes.write_answer(
            200,
            {
                "Daisypick-Attempt-Id": headers["daisypick-attempt-id"],
                "Daisypick-Server-Seal": f"seal-{server.name}",
            },
            b"x" * size,
        )
        connection.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_SNDBUF, 65536
        )
        connection.settimeout(unread_seconds)
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[connection.send(rest[:32768]) :]
            except TimeoutError:
                cuts.append(headers["daisypick-attempt-id"])
                return "close"
        return None

    return fakes.FakeServer(name, "desk", _answer)


def open_slow(address, attempt, *, key=SLOW_KEY, path="/look/big"):
    """Return a connection with a small buffer that has sent a request."""
    caller = socket.socket()
    caller.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, 16384)
    caller.connect(address)
    caller.settimeout(30.0)
    caller.sendall(
        fakes.write_request(path, attempt=attempt, method="GET", key=key)
    )
    return caller


def read_slowly(caller, rate, piece=8192):
    """Read at a rate in bytes a second; return the number of bytes."""
    total, began_at = 0, time.monotonic()
    while True:
        try:
            data = caller.recv(piece)
        except OSError:
            return total
        if not data:
            return total
        total += len(data)
        ahead = total / rate - (time.monotonic() - began_at)
        gevent.sleep(max(ahead, 0.0))
        if data and total >= BIG and _is_whole(total):
            return total


def _is_whole(total):
    # The head of the response takes less than 400 bytes.
    return BIG < total < BIG + 400


@contextlib.contextmanager
def run_process(store, *, memory_mb, pressure):
    """Run a router in a process of its own; yield its address and id."""
    port = fakes.find_port()
    ready = fakes.find_port()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "r-1.toml"
        path.write_text(
            _SETTINGS.format(
                ip=_IP,
                peer=fakes.find_port(),
                caller=port,
                ready=ready,
                memory=memory_mb,
                invariants='"pressure"' if pressure else "",
                store=f"127.0.0.1:{store.address[1]}",
            )
        )
        log = (pathlib.Path(folder) / "log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", "daisypick_router"],
            env={**os.environ, "DAISYPICK_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        try:
            fakes.wait_for(lambda: _is_ready(ready), seconds=10.0)
            yield (_IP, port), process.pid
        finally:
            process.kill()
            process.wait()
            log.close()


def _is_ready(port):
    try:
        with socket.create_connection((_IP, port), 0.5) as probe:
            probe.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return probe.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def find_memory_mb(pid, port):
    """Return a router's memory, and what the kernel keeps for its callers.

    The kernel's part counts towards the memory of the VM, too.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmRSS")]
    local = socket.inet_aton(_IP)[::-1].hex().upper() + f":{port:04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    unsent = sum(
        int(x.split()[4].split(":")[0], 16)
        for x in lines
        if x.split()[1] == local and x.split()[3] != "0A"
    )
    return int(line.split()[1]) * 1024 / 1e6, unsent / 1e6


def watch_memory(pid, port, samples, stopped):
    """Collect samples of ``find_memory_mb`` until ``stopped`` is filled."""
    while not stopped:
        samples.append(find_memory_mb(pid, port))
        gevent.sleep(0.1)


def call_normally(address, times, failures, stopped):
    """Make small requests until ``stopped`` is filled."""
    number = 0
    while not stopped:
        began_at = time.monotonic()
        number += 1
        try:
            with socket.create_connection(address, timeout=5.0) as caller:
                caller.sendall(
                    fakes.write_request(
                        "/look/small", attempt=f"n-{id(times)}-{number}"
                    )
                )
                ok = fakes.read_answer(caller).status == 200
        except OSError:
            ok = False
        times.append(time.monotonic() - began_at)
        if not ok:
            failures.append(number)
        gevent.sleep(0.02)


def measure(*, slow, rate, memory_mb=200, pressure=True):
    """Run slow readers of 1 MB beside four normal callers."""
    store = make_store()
    cuts: list[str] = []
    for name in ("d-1", "d-2"):
        server = make_big_server(name, port_cuts=cuts)
        store.put("servers", name, server.describe(Slots=64))
    times: list[float] = []
    failures: list[int] = []
    stopped: list[bool] = []
    with run_process(store, memory_mb=memory_mb, pressure=pressure) as found:
        address, pid = found
        gevent.sleep(0.5)
        samples: list[tuple[float, float]] = []
        gevent.spawn(watch_memory, pid, address[1], samples, stopped)
        normal = [
            gevent.spawn(call_normally, address, times, failures, stopped)
            for _ in range(4)
        ]
        callers = [open_slow(address, f"s-{n}") for n in range(slow)]
        readers = [gevent.spawn(read_slowly, c, rate) for c in callers]
        gevent.joinall(readers)
        stopped.append(True)
        gevent.joinall(normal)
        return Result(
            whole=sum(_is_whole(reader.value) for reader in readers),
            peak_mb=max(own for own, _ in samples),
            peak_kernel_mb=max(kernel for _, kernel in samples),
            peak_sum_mb=max(map(sum, samples)),
            times=times,
            failed=len(failures),
            cut_by_server=len(cuts),
        )


if __name__ == "__main__":
    for used_rate in (80_000, 20_000):
        shown = measure(slow=100, rate=used_rate)
        print(
            f"100 readers of 1 MB at {used_rate} B/s: {shown.whole} whole,"
            f" peak {shown.peak_mb:.1f} MB, kernel"
            f" {shown.peak_kernel_mb:.1f} MB, sum {shown.peak_sum_mb:.1f} MB,"
            f" {len(shown.times)} normal calls,"
            f" {shown.failed} failed, median"
            f" {statistics.median(shown.times) * 1000:.1f} ms, p99"
            f" {shown.p99 * 1000:.1f} ms, {shown.cut_by_server} cut by servers"
        )
