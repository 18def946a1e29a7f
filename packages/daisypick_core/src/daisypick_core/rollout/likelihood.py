"""How much better a fault of the version explains a sign than faulty servers.

A sound server shows a sign at the rate of its route. A faulty server shows it
more often, whatever its version, and a few of all servers are faulty. Under
both explanations, a sound version and a faulty one, each server is faulty with
the same probability. What one server adds to the ratio of the likelihoods is
therefore bounded: a server that fails half of its requests is explained by its
own fault. Many servers with one failure more than usual are not.

If the version is sound, the ratio exceeds a number with a probability of at
most one by that number, however often it is tested while the answers grow.

Examples:
    >>> alike = [[Stratum(answers=17, found=1, share=0.012)]] * 20
    >>> find_log_odds(alike) > 5.0
    True
    >>> servers = [[Stratum(answers=17, found=0, share=0.012)]] * 18
    >>> servers += [[Stratum(answers=17, found=9, share=0.012)]] * 2
    >>> find_log_odds(servers) < 0.0
    True
"""

import collections
from collections.abc import Sequence
import math
import typing

# Share of all answers that a faulty version spoils. One below the smallest is
# taken for a good one.
_VERSION_FAULTS = (0.03, 0.06, 0.12, 0.25, 0.5, 0.95)
# Probability that a server is faulty, by the share of its answers that it
# spoils. In the worst disturbance 6 of 42 are, most of them by more than a
# quarter; if small shares were as probable, they would explain a version that
# fails 5 in 100.
_CHANCE_BY_SERVER_FAULT = {0.12: 0.01, 0.25: 0.03, 0.5: 0.03, 0.95: 0.03}
_FAULTY_SERVERS = sum(_CHANCE_BY_SERVER_FAULT.values())
# Shares are kept off 0 and 1, since any answer is possible.
_MIN_SHARE = 1e-4


class Stratum(typing.NamedTuple):
    """Answers of one server to one route.

    Attributes:
        answers: Number of answers.
        found: Number of those with the sign.
        share: Share of those of a sound server with the sign.
    """

    answers: int
    found: int
    share: float


def find_log_odds(servers: Sequence[Sequence[Stratum]]) -> float:
    """Return the logarithm of the ratio of the two likelihoods.

    Args:
        servers: Strata of each server.
    """
    logs_by_share: dict[float, list[tuple[float, float]]] = {}
    sums = [0.0] * len(_VERSION_FAULTS)
    # Of thousands of servers many have the same few answers.
    alike = collections.Counter(tuple(strata) for strata in servers)
    for strata, count in alike.items():
        sound, *faulty = _find_log_likelihoods(strata, logs_by_share)
        highest = max(sound, *faulty)
        by_server = sum(
            chance * math.exp(value - highest)
            for chance, value in zip(
                _CHANCE_BY_SERVER_FAULT.values(),
                faulty[len(_VERSION_FAULTS) :],
                strict=True,
            )
        )
        log_sound = _add(sound - highest, by_server)
        for number in range(len(_VERSION_FAULTS)):
            odds = _add(faulty[number] - highest, by_server) - log_sound
            sums[number] += odds * count
    return find_log_mean(sums)


def find_log_mean(logs: Sequence[float]) -> float:
    """Return the logarithm of the mean of numbers with these logarithms."""
    highest = max(logs)
    if highest == -math.inf:
        return highest
    total = sum(math.exp(value - highest) for value in logs)
    return highest + math.log(total / len(logs))


def _add(log_likelihood: float, by_server: float) -> float:
    """Return the logarithm of the likelihood of a server that may be faulty."""
    return math.log(
        (1.0 - _FAULTY_SERVERS) * math.exp(log_likelihood) + by_server + 1e-300
    )


def _find_log_likelihoods(
    strata: Sequence[Stratum],
    logs_by_share: dict[float, list[tuple[float, float]]],
) -> list[float]:
    """Return those of a sound server, faulty versions and faulty servers."""
    likelihoods = [0.0] * (
        1 + len(_VERSION_FAULTS) + len(_CHANCE_BY_SERVER_FAULT)
    )
    for answers, found, share in strata:
        logs = logs_by_share.get(share)
        if logs is None:
            logs = logs_by_share[share] = _find_logs(share)
        sound = answers - found
        for number, (log_found, log_sound) in enumerate(logs):
            likelihoods[number] += found * log_found + sound * log_sound
    return likelihoods


def _find_logs(share: float) -> list[tuple[float, float]]:
    """Return the logarithms of the shares with and without the sign."""
    logs = []
    for fault in (0.0, *_VERSION_FAULTS, *_CHANCE_BY_SERVER_FAULT):
        found = share + fault * (1.0 - share)
        found = min(max(found, _MIN_SHARE), 1.0 - _MIN_SHARE)
        logs.append((math.log(found), math.log1p(-found)))
    return logs
