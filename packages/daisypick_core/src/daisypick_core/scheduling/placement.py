"""Which open engine a request goes to.

The engine with the earliest first token wins. What an engine keeps of the
prompt counts as read; reading again what another engine keeps counts more
than the time it takes, for it drops from memory what others need. For the same
reason a request waits a while for an engine that is busy but keeps its
prompt. Engines in the caller's data centre go before equal ones elsewhere.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import typing

from daisypick_core.scheduling import engine_belief
from daisypick_core.scheduling import job

# Seconds of reading that may wait at one engine. What waits here can still
# be ordered, what waits there cannot; this much keeps an engine busy until
# the next start reaches it.
OPEN_SECONDS = 0.1
# How many times the usual error of a prediction a first token must be ahead
# of its objective.
_MARGIN = 1.0
# Seconds that a request in the batch counts when engines are compared: it
# slows the tokens of all others a little.
_SLOT_SECONDS = 0.0015
# How much a token that another engine keeps counts when it is read again.
# Reading it costs the engine once; dropping from its memory what others need
# costs several times that.
_REREAD_WEIGHT = 12.0
# What an engine in another data centre counts more, in seconds: as much as
# reading some 80 tokens again, about the part of a prompt that short requests
# share. Bytes between data centres cost up to a twentieth of what such a
# request is worth.
_AWAY_SECONDS = 0.01
# Kept tokens, beyond what any open engine keeps, for which a request waits:
# about as many as a short request has of its own.
_WORTH_WAITING_TOKENS = 2000


class Placement(typing.NamedTuple):
    """Where a request goes, and what decided it.

    Attributes:
        server: The chosen server.
        kept: Prompt tokens that it is believed to keep.
        ahead: Prompt tokens that it has to read before.
        elsewhere: Most prompt tokens that any server is believed to keep.
    """

    server: str
    kept: int
    ahead: float
    elsewhere: int


def choose(
    work: job.Job,
    *,
    engine_by_server: Mapping[str, engine_belief.EngineBelief],
    ahead_by_server: Mapping[str, float],
    busy: Collection[str],
    data_centre_by_server: Mapping[str, str],
    bears: Callable[[str], bool],
    share: float,
    may_wait: bool,
    now: float,
) -> Placement | None:
    """Return the best place for a request, or ``None`` if none has room.

    Args:
        work: The request.
        engine_by_server: All engines whose memory counts.
        ahead_by_server: Unread tokens of the engines that are open.
        busy: Engines that are closed only for what they have to read.
        data_centre_by_server: Where the engines are.
        bears: Tells whether a server, which may be cold, bears one more.
        share: Part of every engine that may be used.
        may_wait: Whether the request has time to wait for a busy engine.
        now: The time.
    """
    kept_by_server = {
        server: engine.cache.count_kept(work.parts)
        for server, engine in engine_by_server.items()
    }
    elsewhere = max(kept_by_server.values())
    best = None
    best_cost = 0.0
    most_busy = max(
        (kept_by_server[name] for name in busy if name not in work.avoid),
        default=0,
    )
    for server, ahead in ahead_by_server.items():
        kept = kept_by_server[server]
        if server in work.avoid or not bears(server):
            continue
        unread = max(work.prompt_tokens - kept, 0)
        engine = engine_by_server[server]
        if ahead and not _is_in_time(work, engine, ahead / share + unread, now):
            most_busy = max(most_busy, kept)
            continue
        if not engine.has_memory(work, share):
            continue
        tokens = ahead + unread + (elsewhere - kept) * _REREAD_WEIGHT
        cost = (
            tokens * engine.speed.token_seconds + engine.running * _SLOT_SECONDS
        )
        if data_centre_by_server[server] != work.data_centre:
            cost += _AWAY_SECONDS
        if best is None or cost < best_cost:
            best = Placement(
                server=server, kept=kept, ahead=ahead, elsewhere=elsewhere
            )
            best_cost = cost
    if (
        may_wait
        and best is not None
        and most_busy - best.kept >= _WORTH_WAITING_TOKENS
    ):
        return None
    return best


def _is_in_time(
    work: job.Job,
    engine: engine_belief.EngineBelief,
    tokens: float,
    now: float,
) -> bool:
    seconds = engine.speed.predict(tokens)
    return now + seconds * (1.0 + _MARGIN * engine.speed.spread) <= (
        work.objective_at
    )
