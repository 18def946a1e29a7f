"""The measurements; costs are slopes over several points."""

import time
import typing

import gevent
import msgspec

from daisypick_lab import fit
from daisypick_lab import results
from daisypick_lab import tally as tally_module
from daisypick_lab.bench import processes
from daisypick_lab.bench import work

REQUEST_COUNTS = (400, 800, 1200, 1600)
TOKEN_COUNTS = (32, 64, 96, 128)
STREAM_COUNTS = (0, 250, 500, 750, 1000)
STREAMS = 100
CONCURRENCY = 32
LATENCY_CALLS = 300
IDLE_SECONDS = 3.0
TOKEN_INTERVAL = 0.02
SLOW_INTERVAL = 0.25
_WARM_UP_CALLS = 100
_SHORT_TOKENS = 2
_LONG_TOKENS = 4000
_SETTLE_SECONDS = 1.0


class Cost(msgspec.Struct, kw_only=True):
    """Processor time by process, seconds per unit as a slope."""

    unit: str
    router: fit.Line
    agent: fit.Line
    engine: fit.Line
    engine_direct: fit.Line


class FirstToken(msgspec.Struct, kw_only=True):
    """Time to first token in seconds, with one call at a time."""

    calls: int
    direct_p50: float
    direct_p95: float
    routed_p50: float
    routed_p95: float


class Memory(msgspec.Struct, kw_only=True):
    """Resident memory in bytes by number of open streams."""

    router: fit.Line
    agent: fit.Line


class Idle(msgspec.Struct, kw_only=True):
    """Processor time per second without any request."""

    seconds: float
    router: float
    agent: float


class BenchResult(msgspec.Struct, kw_only=True):
    """Results of all measurements."""

    seed: int
    version: str
    idle: Idle
    request: Cost
    token: Cost
    first_token: FirstToken
    memory: Memory


def measure_all(report_progress: typing.Callable[[str], None]) -> BenchResult:
    """Run every measurement."""
    bench = processes.Bench(token_interval=TOKEN_INTERVAL)
    try:
        report_progress("idle")
        idle = measure_idle(bench)
        report_progress("first token")
        first_token = measure_first_token(bench)
        report_progress("processor time for each request")
        request = measure_requests(bench)
        report_progress("processor time for each streamed token")
        token = measure_tokens(bench)
    finally:
        bench.stop()
    report_progress("memory of open streams")
    bench = processes.Bench(token_interval=SLOW_INTERVAL)
    try:
        memory = measure_memory(bench)
    finally:
        bench.stop()
    return BenchResult(
        seed=0,
        version=results.version(),
        idle=idle,
        request=request,
        token=token,
        first_token=first_token,
        memory=memory,
    )


def measure_idle(bench: processes.Bench) -> Idle:
    """Measure the processor time of an idle router and agent."""
    both = [bench.router, bench.agent]
    before = processes.processor_seconds(both)
    started_at = time.monotonic()
    gevent.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - started_at
    after = processes.processor_seconds(both)
    router, agent = (
        (b - a) / seconds for a, b in zip(before, after, strict=True)
    )
    return Idle(seconds=seconds, router=router, agent=agent)


def measure_first_token(bench: processes.Bench) -> FirstToken:
    """Measure the time to first token, alternating direct and routed calls."""
    found = {}
    clients = {
        "direct": work.BenchClient(address=bench.engine.address),
        "routed": work.BenchClient(address=bench.router.address),
    }
    for client in clients.values():
        client.call_many(
            count=_WARM_UP_CALLS,
            concurrency=CONCURRENCY,
            tokens=_SHORT_TOKENS,
            is_stream=True,
        )
    latencies = {name: tally_module.Latency() for name in clients}
    for _ in range(LATENCY_CALLS):
        for name, client in clients.items():
            answered = client.call(tokens=_SHORT_TOKENS, is_stream=True)
            latencies[name].record(answered.first_token_seconds)
    for name, latency in latencies.items():
        found[f"{name}_p50"] = latency.percentile(50)
        found[f"{name}_p95"] = latency.percentile(95)
        clients[name].close()
    return FirstToken(calls=LATENCY_CALLS, **found)


def measure_requests(bench: processes.Bench) -> Cost:
    """Measure the cost by number of two-token, non-streamed responses."""

    def _run(client: work.BenchClient, count: int) -> None:
        client.call_many(
            count=count,
            concurrency=CONCURRENCY,
            tokens=_SHORT_TOKENS,
            is_stream=False,
        )

    return _measure_cost(bench, "request", REQUEST_COUNTS, 1, _run)


def measure_tokens(bench: processes.Bench) -> Cost:
    """Measure the cost of concurrent streams by their length."""

    def _run(client: work.BenchClient, count: int) -> None:
        client.call_many(
            count=STREAMS, concurrency=STREAMS, tokens=count, is_stream=True
        )

    return _measure_cost(bench, "streamed token", TOKEN_COUNTS, STREAMS, _run)


def _measure_cost(
    bench: processes.Bench,
    unit: str,
    counts: typing.Sequence[int],
    factor: int,
    run: typing.Callable[[work.BenchClient, int], None],
) -> Cost:
    routed = _measure_route(bench, bench.router.address, counts, run)
    direct = _measure_route(bench, bench.engine.address, counts, run)
    units = [float(count * factor) for count in counts]
    return Cost(
        unit=unit,
        router=fit.fit(units, routed["router"]),
        agent=fit.fit(units, routed["agent"]),
        engine=fit.fit(units, routed["engine"]),
        engine_direct=fit.fit(units, direct["engine"]),
    )


def _measure_route(
    bench: processes.Bench,
    address: str,
    counts: typing.Sequence[int],
    run: typing.Callable[[work.BenchClient, int], None],
) -> dict[str, list[float]]:
    """Return the processor seconds at each point, by process."""
    client = work.BenchClient(address=address)
    run(client, counts[0])
    found: dict[str, list[float]] = {}
    measured = [bench.router, bench.agent, bench.engine]
    for count in counts:
        before = processes.processor_seconds(measured)
        run(client, count)
        after = processes.processor_seconds(measured)
        for process, start, end in zip(measured, before, after, strict=True):
            found.setdefault(process.name, []).append(end - start)
    client.close()
    return found


def measure_memory(bench: processes.Bench) -> Memory:
    """Measure resident memory with a growing number of open streams."""
    client = work.BenchClient(address=bench.router.address)
    streams: list[gevent.Greenlet] = []
    found: dict[str, list[float]] = {"router": [], "agent": []}
    for count in STREAM_COUNTS:
        more = count - len(streams)
        streams += client.open_streams(count=more, tokens=_LONG_TOKENS)
        gevent.sleep(_SETTLE_SECONDS)
        for process in (bench.router, bench.agent):
            found[process.name].append(float(process.resident_bytes()))
    failed = [stream for stream in streams if stream.ready()]
    if failed:
        raise work.InvalidResponseError(f"{len(failed)} streams ended early")
    gevent.killall(streams)
    xs = [float(count) for count in STREAM_COUNTS]
    return Memory(
        router=fit.fit(xs, found["router"]), agent=fit.fit(xs, found["agent"])
    )
