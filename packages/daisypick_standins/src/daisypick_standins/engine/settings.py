"""What one engine is like."""

import typing

CRASH = "crash"
ERROR = "error"


class EngineSettings(typing.NamedTuple):
    """The cost model and the manners of an engine.

    Attributes:
        slots: Requests in one batch; more wait first come, first served.
        prefill_rate: Prompt tokens read a second, by all together.
        token_interval: Seconds a step with an almost empty batch.
        full_slowdown: Factor on the interval when the batch is full.
        cache_tokens: Memory for cached prefixes, tokens.
        cold_slots: Requests that it bears when it has just started.
        cold_slowdown: Factor on the interval in the cold start.
        cold_failure: ``CRASH`` fails all that runs and starts anew,
            ``ERROR`` answers 500 to what is too much.
        warm_tokens: Tokens served until it is warm.
        warm_seconds: Seconds until it is warm without serving.
        restart_seconds: Seconds after a crash in which it answers 503.
        load_lag: Seconds by which the load report is late.
        event_lag: Seconds by which cache events are late.
        event_loss: Share of cache events that are never published.
        resume_seconds: Seconds for which it goes on generating a stream
            that nobody reads; then it cancels it.
        seed: Seed of boot ids and of lost events.
    """

    slots: int = 8
    prefill_rate: float = 20_000.0
    token_interval: float = 0.02
    full_slowdown: float = 1.5
    cache_tokens: int = 32_768
    cold_slots: int = 2
    cold_slowdown: float = 2.0
    cold_failure: str = CRASH
    warm_tokens: int = 256
    warm_seconds: float = 30.0
    restart_seconds: float = 0.5
    load_lag: float = 1.0
    event_lag: float = 1.0
    event_loss: float = 0.1
    resume_seconds: float = 1.0
    seed: int = 1
