"""Exponential backoff with jitter.

Hundreds of routers see the same agent fail at the same time. Without jitter
they would all retry at the same time as well.

Examples:
    >>> import random
    >>> rng = random.Random(1)
    >>> pauses = [pause(n, rng, base=0.1, max_mean=2.0) for n in range(9)]
    >>> all(0.05 <= p <= 3.0 for p in pauses), pauses[8] > pauses[0]
    (True, True)
"""

import random

_MIN_JITTER = 0.5
_MAX_JITTER = 1.5


def pause(
    failures: int, rng: random.Random, *, base: float, max_mean: float
) -> float:
    """Return the backoff after a number of earlier failures, seconds.

    Args:
        failures: Failures before this one, 0 for the first.
        rng: Source of the jitter.
        base: Mean of the first pause, seconds.
        max_mean: Upper limit of the mean, seconds.
    """
    mean = min(max_mean, base * 2.0 ** min(failures, 32))
    return mean * rng.uniform(_MIN_JITTER, _MAX_JITTER)
