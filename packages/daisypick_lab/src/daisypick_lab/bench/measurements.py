"""The measurements, each a slope over several points."""

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
AT_ONCE = 32
LATENCY_CALLS = 300
IDLE_SECONDS = 3.0
TOKEN_INTERVAL = 0.02
SLOW_INTERVAL = 0.25
_WARM_UP = 100
_SHORT = 2
_LONG = 4000
_SETTLE_SECONDS = 1.0


class Cost(msgspec.Struct, kw_only=True):
    """Processor time by process, a slope each, seconds for each unit."""

    unit: str
    router: fit.Line
    agent: fit.Line
    engine: fit.Line
    engine_direct: fit.Line


class FirstToken(msgspec.Struct, kw_only=True):
    """Time to the first token, seconds, one call at a time."""

    calls: int
    direct_p50: float
    direct_p95: float
    routed_p50: float
    routed_p95: float


class Memory(msgspec.Struct, kw_only=True):
    """Resident memory in bytes against open streams."""

    router: fit.Line
    agent: fit.Line


class Idle(msgspec.Struct, kw_only=True):
    """Processor time a second without any request."""

    seconds: float
    router: float
    agent: float


class BenchResult(msgspec.Struct, kw_only=True):
    """All that the bench measured."""

    seed: int
    version: str
    idle: Idle
    request: Cost
    token: Cost
    first_token: FirstToken
    memory: Memory


def measure_all(say: typing.Callable[[str], None]) -> BenchResult:
    """Run every measurement."""
    bench = processes.Bench(token_interval=TOKEN_INTERVAL)
    try:
        say("idle")
        idle = measure_idle(bench)
        say("first token")
        first_token = measure_first_token(bench)
        say("processor time for each request")
        request = measure_requests(bench)
        say("processor time for each streamed token")
        token = measure_tokens(bench)
    finally:
        bench.stop()
    say("memory of open streams")
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
    """Measure what router and agent use while nothing happens."""
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
    """Measure the first token, direct and routed calls in turn."""
    found = {}
    ways = {
        "direct": work.Work(address=bench.engine.address),
        "routed": work.Work(address=bench.router.address),
    }
    for way in ways.values():
        way.call_many(
            count=_WARM_UP, at_once=AT_ONCE, tokens=_SHORT, is_stream=True
        )
    latencies = {name: tally_module.Latency() for name in ways}
    for _ in range(LATENCY_CALLS):
        for name, way in ways.items():
            answered = way.call(tokens=_SHORT, is_stream=True)
            latencies[name].record(answered.first_token_seconds)
    for name, latency in latencies.items():
        found[f"{name}_p50"] = latency.percentile(50)
        found[f"{name}_p95"] = latency.percentile(95)
        ways[name].close()
    return FirstToken(calls=LATENCY_CALLS, **found)


def measure_requests(bench: processes.Bench) -> Cost:
    """Measure whole answers of two tokens against their number."""

    def _run(way: work.Work, count: int) -> None:
        way.call_many(
            count=count, at_once=AT_ONCE, tokens=_SHORT, is_stream=False
        )

    return _measure_cost(bench, "request", REQUEST_COUNTS, 1, _run)


def measure_tokens(bench: processes.Bench) -> Cost:
    """Measure streams of growing length, all at once."""

    def _run(way: work.Work, count: int) -> None:
        way.call_many(
            count=STREAMS, at_once=STREAMS, tokens=count, is_stream=True
        )

    return _measure_cost(bench, "streamed token", TOKEN_COUNTS, STREAMS, _run)


def _measure_cost(
    bench: processes.Bench,
    unit: str,
    counts: typing.Sequence[int],
    factor: int,
    run: typing.Callable[[work.Work, int], None],
) -> Cost:
    routed = _measure_way(bench, bench.router.address, counts, run)
    direct = _measure_way(bench, bench.engine.address, counts, run)
    units = [float(count * factor) for count in counts]
    return Cost(
        unit=unit,
        router=fit.fit(units, routed["router"]),
        agent=fit.fit(units, routed["agent"]),
        engine=fit.fit(units, routed["engine"]),
        engine_direct=fit.fit(units, direct["engine"]),
    )


def _measure_way(
    bench: processes.Bench,
    address: str,
    counts: typing.Sequence[int],
    run: typing.Callable[[work.Work, int], None],
) -> dict[str, list[float]]:
    """Return the processor seconds of each point, by process."""
    way = work.Work(address=address)
    run(way, counts[0])
    found: dict[str, list[float]] = {}
    measured = [bench.router, bench.agent, bench.engine]
    for count in counts:
        before = processes.processor_seconds(measured)
        run(way, count)
        after = processes.processor_seconds(measured)
        for process, start, end in zip(measured, before, after, strict=True):
            found.setdefault(process.name, []).append(end - start)
    way.close()
    return found


def measure_memory(bench: processes.Bench) -> Memory:
    """Measure resident memory while more and more streams are open."""
    way = work.Work(address=bench.router.address)
    streams: list[gevent.Greenlet] = []
    found: dict[str, list[float]] = {"router": [], "agent": []}
    for count in STREAM_COUNTS:
        more = count - len(streams)
        streams += way.open_streams(count=more, tokens=_LONG)
        gevent.sleep(_SETTLE_SECONDS)
        for process in (bench.router, bench.agent):
            found[process.name].append(float(process.resident_bytes()))
    failed = [stream for stream in streams if stream.ready()]
    if failed:
        raise work.FaultyAnswerError(f"{len(failed)} streams ended early")
    gevent.killall(streams)
    xs = [float(count) for count in STREAM_COUNTS]
    return Memory(
        router=fit.fit(xs, found["router"]), agent=fit.fit(xs, found["agent"])
    )
