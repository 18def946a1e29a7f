"""Which engines can complete an answer before its caller's deadline.

Answers the load under which an engine prefills so many prompts that its running
answers advance too slowly: each first token is in time, but long answers reach
their deadline before their end, and the engine's time for them is lost.

*Own end.* A request starts only where its predicted end is before its deadline.

*Prefill beside decoding.* Prefill slows all running answers of an engine. The
answer that leaves the least headroom sets the share of the time that the engine
may prefill; each start is charged with its prefill, and an engine that is over
its share gets no start until it is within it again.

*Pauses.* An engine prefills without a break only as long as the callers of its
answers accept a pause, see ``pause_limit``. A prompt that takes longer waits
until the engine has had a break.

*Long answers.* A start costs what it takes from the engine's share. So long
answers go where others already limit the prefill, and prompts to the rest.

A request of unknown length, and a service of unknown speed, are not limited.
"""

from daisypick_core.scheduling import decode_speed
from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import job

# Share of its predicted time that an answer must have: the engine's batch gets
# smaller while it is over its share, so a full one is no reason to refuse.
_OWN_TIME_SHARE = 0.8
# Cost in seconds, per second of prefill that a start takes from an engine.
_LOST_PREFILL_WEIGHT = 0.5


def find_cost(
    work: job.Job,
    engine: engine_estimate.EngineEstimate,
    *,
    prefill: float,
    backlog: float,
    now: float,
) -> float | None:
    """Return the cost of a start in seconds, or ``None`` if it may not start.

    Args:
        work: The request.
        engine: The engine.
        prefill: Seconds of its own prefill.
        backlog: Seconds of prefill that are ahead of it.
        now: The time.
    """
    if not engine.decode.speed.service.is_known:
        return 0.0
    room = engine.update_headroom(now)
    if engine.prefill_credit.is_spent:
        return None
    stretch = engine.prefill_stretch(now)
    max_prefill = engine.decode.find_max_prefill(engine.running)
    if stretch + prefill > max_prefill and stretch > 0.0:
        return None
    cost = prefill * (1.0 - room.share)
    events = work.expected_events
    if not events:
        return cost
    left = work.deadline_at - now
    if left <= 0.0:
        return None
    decoding = events * engine.decode.speed.predict(engine.running + 1)
    seconds = left - backlog - prefill
    if decoding * _OWN_TIME_SHARE > seconds:
        return None
    share = max((seconds - decoding) / left, 0.0)
    if share < room.share:
        cost += (room.share - share) * decoding * _LOST_PREFILL_WEIGHT
    return cost


def is_impossible(
    work: job.Job, speed: decode_speed.ServiceDecodeSpeed, now: float
) -> bool:
    """Return whether an answer cannot end in time at an idle engine."""
    if not speed.is_known or not work.expected_events:
        return False
    decoding = work.expected_events * speed.predict(1.0)
    return now + decoding * _OWN_TIME_SHARE > work.deadline_at
