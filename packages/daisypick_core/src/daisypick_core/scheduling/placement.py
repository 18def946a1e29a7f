"""Which open engine a request goes to.

The engine with the earliest first token wins, if that is within the request's
objective. What an engine keeps of the prompt counts as read; reading again
what another engine keeps counts more than the time it takes, for it drops
from memory what others need. Where engines can copy KV cache from each other,
a request names one that has read most of its prompt, and may go to any. Else
it waits a while for an engine that is busy but keeps its prompt. Engines in
the caller's data centre go before equal ones elsewhere.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import typing

from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import job

# Seconds of reading that may wait at one engine. What waits here can still
# be ordered, what waits there cannot; this much keeps an engine busy until
# the next start reaches it.
MAX_BACKLOG_SECONDS = 0.1
# How many times the usual error of a prediction a first token must be ahead
# of its objective.
_ERROR_MARGIN = 1.0
# Seconds that a request in the batch counts when engines are compared: it
# slows the tokens of all others a little.
_BATCH_SLOT_SECONDS = 0.0015
# How much a token that another engine keeps counts when it is read again.
# Reading it costs the engine once; dropping from its memory what others need
# costs several times that.
_RECOMPUTE_WEIGHT = 12.0
# What an engine in another data centre counts more, in seconds: an equal one
# nearby goes first, one that keeps a long part of the prompt does not.
_REMOTE_SECONDS = 0.01
# Kept tokens, beyond what any open engine keeps, for which a request waits:
# about as many as a short request has of its own.
_MIN_WAIT_GAIN_TOKENS = 2000

# Least tokens that are worth a copy, which takes a message between engines.
_MIN_COPIED_TOKENS = 50
# Part of the time of reading that copying may take at the most, and how much
# of its own time it counts: copies wait for each other on an engine's link,
# and what two engines keep drops something else from the memory of one.
_MAX_COPY_SHARE = 0.5
_COPY_WEIGHT = 6.0


class Placement(typing.NamedTuple):
    """Where a request goes, and what decided it.

    Attributes:
        server: The chosen server.
        kept: Prompt tokens that it is believed to keep.
        ahead: Prompt tokens that it has to read before.
        elsewhere: Most prompt tokens that any server is believed to keep.
        source: Server from which KV cache is copied; empty for none.
        copied: Prompt tokens that are copied from there.
        saved: Prompt tokens worth of reading that the copy spares.
    """

    server: str
    cached: int
    ahead: float
    max_cached: int
    source: str
    copied: int
    saved: float


class _CachedPrefix(typing.NamedTuple):
    """Tokens of a prompt that engines keep.

    Attributes:
        by_server: Kept or on their way, by server.
        most: The most of them.
        source: Server that has read the most, and keeps it.
        read: What that one has read.
    """

    by_server: dict[str, int]
    max_cached: int
    source: str
    prefilled: int


def choose(
    work: job.Job,
    *,
    engine_by_server: Mapping[str, engine_estimate.EngineEstimate],
    backlog_by_server: Mapping[str, float],
    busy: Collection[str],
    data_centre_by_server: Mapping[str, str],
    can_handle: Callable[[str], bool],
    share: float,
    may_wait: bool,
    now: float,
    copy_token_seconds: float = 0.0,
) -> Placement | None:
    """Return the best place for a request, or ``None`` if none has room.

    Args:
        work: The request.
        engine_by_server: All engines whose memory counts.
        backlog_by_server: Unread tokens of the engines that are open.
        busy: Engines that are closed only for what they have to read.
        data_centre_by_server: Where the engines are.
        can_handle: Tells whether a server, which may be cold, bears one more.
        share: Part of every engine that may be used.
        may_wait: Whether the request has time to wait for a busy engine.
        now: The time.
        copy_token_seconds: Seconds in which an engine copies a token of KV
            cache from another one; zero if it cannot.
    """
    prefix = _find_cached_prefix(work, engine_by_server)
    best = None
    best_cost = 0.0
    max_busy_cached = max(
        (prefix.by_server[name] for name in busy if name not in work.avoid),
        default=0,
    )
    for server, ahead in backlog_by_server.items():
        if server in work.avoid or not can_handle(server):
            continue
        engine = engine_by_server[server]
        cached = prefix.by_server[server]
        copied = _count_copied(
            prefix.prefilled - cached, engine, copy_token_seconds
        )
        saved = copied * _find_saved_share(engine, copy_token_seconds)
        to_prefill = max(work.prompt_tokens - cached - saved, 0.0)
        if ahead and not _is_in_time(
            work, engine, ahead / share + to_prefill, now
        ):
            max_busy_cached = max(max_busy_cached, cached)
            continue
        recomputed = max(prefix.max_cached - cached - copied, 0)
        cost = (
            (ahead + to_prefill + recomputed * _RECOMPUTE_WEIGHT)
            * engine.speed.token_seconds
            + copied * copy_token_seconds * _COPY_WEIGHT
            + engine.running * _BATCH_SLOT_SECONDS
        )
        if data_centre_by_server[server] != work.data_centre:
            cost += _REMOTE_SECONDS
        if best is not None and cost >= best_cost:
            continue
        if not engine.has_memory(work, share):
            continue
        best_cost = cost
        best = Placement(
            server=server,
            cached=cached,
            ahead=ahead,
            max_cached=prefix.max_cached,
            source=prefix.source if copied else "",
            copied=copied,
            saved=saved,
        )
    if (
        may_wait
        and best is not None
        and max_busy_cached - best.cached - best.copied >= _MIN_WAIT_GAIN_TOKENS
    ):
        return None
    return best


def _find_cached_prefix(
    work: job.Job,
    engine_by_server: Mapping[str, engine_estimate.EngineEstimate],
) -> _CachedPrefix:
    by_server = {}
    source, prefilled, min_running = "", 0, 0
    for server, engine in engine_by_server.items():
        by_server[server] = engine.cache.count_cached(work.parts)
        if not by_server[server]:
            continue
        tokens = engine.cache.count_prefilled(work.parts)
        if tokens > prefilled or (
            tokens and tokens == prefilled and engine.running < min_running
        ):
            source, prefilled, min_running = server, tokens, engine.running
    return _CachedPrefix(
        by_server=by_server,
        max_cached=max(by_server.values()),
        source=source,
        prefilled=prefilled,
    )


def _count_copied(
    wanted: int,
    engine: engine_estimate.EngineEstimate,
    copy_token_seconds: float,
) -> int:
    """Return how many tokens an engine copies of those it could."""
    if wanted < _MIN_COPIED_TOKENS or not copy_token_seconds:
        return 0
    copy_share = copy_token_seconds / engine.speed.token_seconds
    return wanted if copy_share <= _MAX_COPY_SHARE else 0


def _find_saved_share(
    engine: engine_estimate.EngineEstimate, copy_token_seconds: float
) -> float:
    """Return the part of the time of reading that copying spares."""
    return 1.0 - copy_token_seconds / engine.speed.token_seconds


def _is_in_time(
    work: job.Job,
    engine: engine_estimate.EngineEstimate,
    tokens: float,
    now: float,
) -> bool:
    seconds = engine.speed.predict(tokens)
    return now + seconds * (
        1.0 + _ERROR_MARGIN * engine.speed.relative_error
    ) <= (work.objective_at)
