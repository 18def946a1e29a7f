"""Parameters of an engine."""

import typing

CRASH = "crash"
ERROR = "error"


class EngineSettings(typing.NamedTuple):
    """The cost model and the behaviour of an engine.

    Attributes:
        slots: Requests in one batch; more wait first come, first served.
        prefill_rate: Prompt tokens a second over all requests.
        token_interval: Seconds per step with an almost empty batch.
        full_slowdown: Factor on the interval when the batch is full.
        cache_tokens: Memory for cached prefixes, tokens.
        cold_slots: Requests that it can handle just after its start.
        cold_slowdown: Factor on the interval during the cold start.
        cold_failure: What a request beyond the cold-start capacity causes:
            ``CRASH`` fails all requests and restarts the engine, ``ERROR``
            only returns 500 to this request.
        warm_tokens: Tokens served until it is warm.
        warm_seconds: Seconds until it is warm without serving.
        restart_seconds: Seconds after a crash in which it returns 503.
        load_lag: Delay of the load report, in seconds.
        event_lag: Delay of cache events, in seconds.
        event_loss: Fraction of cache events that are never published.
        resume_seconds: Seconds for which generation continues after the
            last reader of a stream has gone; then it is cancelled.
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
