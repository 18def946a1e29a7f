"""Pauses that grow with each failure and differ between routers.

Hundreds of routers see the same agent fail at the same moment. Without
jitter they all come back at the same moment too.

Examples:
    >>> import random
    >>> rng = random.Random(1)
    >>> pauses = [pause(n, rng, base=0.1, longest=2.0) for n in range(9)]
    >>> all(0.05 <= p <= 3.0 for p in pauses), pauses[8] > pauses[0]
    (True, True)
"""

import random

_LEAST = 0.5
_MOST = 1.5


def pause(
    failures: int, rng: random.Random, *, base: float, longest: float
) -> float:
    """Return the seconds to wait after a number of failures before.

    Args:
        failures: Failures before this one, 0 for the first.
        rng: Source of the jitter.
        base: Mean of the first pause, seconds.
        longest: Mean beyond which it does not grow, seconds.
    """
    mean = min(longest, base * 2.0 ** min(failures, 32))
    return mean * rng.uniform(_LEAST, _MOST)
