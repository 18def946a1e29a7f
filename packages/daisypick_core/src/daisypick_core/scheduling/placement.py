"""Which available engine a request goes to.

The engine with the earliest predicted first token is chosen, if that is within
the request's objective. Prompt tokens that an engine has cached need no
prefill. Prefill of tokens that another engine has cached is weighted more than
its time, since it evicts from the KV cache what other requests need. Where
engines can copy KV cache from each other, a request names a source that has
prefilled the most of its prompt, and may go to any engine. Otherwise it waits
for a limited time for a busy engine that has its prompt cached. Engines in the
router's data centre are preferred to equal ones elsewhere.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import typing

from daisypick_core.scheduling import completion
from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import job

# Limit of the prefill backlog of an available engine, in seconds. Requests that
# wait in the scheduler can still be reordered, those at an engine cannot; this
# backlog keeps an engine busy until the next start reaches it.
MAX_BACKLOG_SECONDS = 0.1
# Safety margin between a predicted first token and the objective, in multiples
# of the mean prediction error.
_ERROR_MARGIN = 1.0
# Cost in seconds of each running request when engines are compared: it slows
# the decode steps of all others in the batch a little.
_BATCH_SLOT_SECONDS = 0.0015
# Weight of a token that is prefilled again although another engine has it
# cached. The prefill costs the engine once; evicting from its KV cache what
# other requests need costs several times that.
_RECOMPUTE_WEIGHT = 12.0
# Extra cost in seconds of an engine in another data centre: enough to prefer an
# equal engine nearby, too little to outweigh a long cached part of the prompt.
_REMOTE_SECONDS = 0.01
# Least number of tokens that a busy engine must have cached beyond the chosen
# available one for a request to wait for it: about a short prompt's own tokens.
_MIN_WAIT_GAIN_TOKENS = 2000

# Fewest tokens that are copied: a copy takes a message between engines.
_MIN_COPIED_TOKENS = 50
# Longest time of a copy as a multiple of the prefill that it replaces, and the
# weight of its time as a cost. A copy takes time of a link, which is idle for
# the most part, a prefill that of the engine, which is what overload makes
# scarce. But copies queue behind each other on a link, and tokens cached at two
# engines evict something else from the KV cache of one.
_MAX_COPY_SHARE = 1.5
_COPY_WEIGHT = 6.0


class Placement(typing.NamedTuple):
    """The engine chosen for a request, and the figures behind the choice.

    Attributes:
        server: The chosen server.
        cached: Prompt tokens that it has cached, as estimated.
        ahead: Prompt tokens queued for prefill there before the request.
        max_cached: Most prompt tokens that any server has cached.
        source: Server from which KV cache is copied; empty for none.
        copied: Prompt tokens that are copied from there.
        saved: Prefill work in prompt tokens that the copy saves.
    """

    server: str
    cached: int
    ahead: float
    max_cached: int
    source: str
    copied: int
    saved: float


class _CachedPrefix(typing.NamedTuple):
    """Tokens of a prompt that engines have cached.

    Attributes:
        by_server: Tokens cached or still in prefill, by server.
        max_cached: The maximum of these.
        source: Server that has prefilled and still caches the most.
        prefilled: Tokens that the source has prefilled.
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
    """Return the best engine for a request, or ``None`` if it has to wait.

    Args:
        work: The request.
        engine_by_server: All engines whose prefix caches are considered.
        backlog_by_server: Prefill backlog in tokens of the available engines.
        busy: Engines that only their prefill backlog makes unavailable.
        data_centre_by_server: Data centres of the engines.
        can_handle: Returns whether a server, which may be cold, can handle one
            more request.
        share: Share of every engine that may be used.
        may_wait: Whether the request has time to wait for a busy engine.
        now: The time.
        copy_token_seconds: Seconds in which an engine copies a token of KV
            cache from another one; zero if it cannot.
    """
    prefix = _find_cached_prefix(work, engine_by_server)
    best = None
    best_cost = 0.0
    max_busy_cached = max(
        (prefix.by_server[name] for name in busy if work.may_use(name)),
        default=0,
    )
    for server, ahead in backlog_by_server.items():
        if not work.may_use(server) or not can_handle(server):
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
        completion_cost = completion.find_cost(
            work,
            engine,
            prefill=to_prefill * engine.speed.token_seconds,
            backlog=ahead / share * engine.speed.token_seconds,
            now=now,
        )
        if completion_cost is None:
            max_busy_cached = max(max_busy_cached, cached)
            continue
        recomputed = max(prefix.max_cached - cached - copied, 0)
        cost = (
            (ahead + to_prefill + recomputed * _RECOMPUTE_WEIGHT)
            * engine.speed.token_seconds
            + copied * copy_token_seconds * _COPY_WEIGHT
            + engine.running * _BATCH_SLOT_SECONDS
            + completion_cost
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
    """Return how many of the wanted tokens an engine copies."""
    if wanted < _MIN_COPIED_TOKENS or not copy_token_seconds:
        return 0
    copy_share = copy_token_seconds / engine.speed.token_seconds
    return wanted if copy_share <= _MAX_COPY_SHARE else 0


def _find_saved_share(
    engine: engine_estimate.EngineEstimate, copy_token_seconds: float
) -> float:
    """Return the share of the prefill time that copying saves.

    None if the copy takes as long as the prefill: the first token comes no
    sooner, although the engine has more time for others.
    """
    return max(1.0 - copy_token_seconds / engine.speed.token_seconds, 0.0)


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
