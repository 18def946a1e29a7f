"""Whether the answers of a version show a fault of its own.

Sound servers fail too: some requests have errors of their own, and servers
crash, hang and turn slow. So the target is compared with the version in force
on the same routes at the same time, and servers that stand out among those of
the target are left out, up to half of them, since a fault of the version shows
on most.

Three signs are tested for each route and for all routes together:

* failures;
* slow answers: those that take over twice the time which nine in ten answers
  of the version in force stay below;
* a shift of the times: answers that take longer than four in five of the
  version in force. New servers have nothing cached and thus exceed it more
  often; a version that is several times slower exceeds it nearly always.

Times count to the first event and from event to event.

Examples:
    >>> from daisypick_core.rollout import evidence as evidences
    >>> evidence = evidences.Evidence()
    >>> for number in range(100):
    ...     evidence.add(evidences.Answer("look", "", failed=False))
    >>> for number in range(12):
    ...     server = f"i-{number % 4}"
    ...     evidence.add(evidences.Answer("look", server, failed=True))
    >>> find_fault(evidence)
    Fault(sign='failures', route='look', found=6, expected=0.17, answers=6)
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import typing

from daisypick_core.rollout import evidence as evidences

# Largest probability at which a sign may appear on a sound version. Some seven
# strata and three signs are tested twice a second for some ten seconds on data
# that grow, so a sound version is rejected in about one roll-out of 500.
_MAX_CHANCE = 2e-5
# Fewest signs that count, so that two mishaps reject nothing.
_MIN_FOUND = 4
# Differences in the share of failures and of slow answers that do not count.
_FAILURE_TOLERANCE = 0.01
_SLOW_TOLERANCE = 0.03
# Share of a sound version's answers that may exceed the time which four in five
# of the version in force stay below: without any cached prefix twice as many.
_SHIFTED_SHARE = 0.45
# A bucket is a quarter longer than the one before, so three are twice as long.
_SLOW_BUCKETS = 3
# Fewest times of the version in force that a comparison is based on.
_MIN_REFERENCE = 25
# A server stands out with so many signs, and by so much in their share.
_MIN_OUTLIER_FOUND = 3
_MIN_OUTLIER_SHARE = 0.2
_MAX_OUTLIERS = 0.5


class Fault(typing.NamedTuple):
    """A sign that the target is faulty.

    Attributes:
        sign: Which of the signs.
        route: Route that shows it; empty for all of them together.
        found: Answers with the sign, without those of outlying servers.
        expected: Answers that would have it on a sound version.
        answers: Answers that were looked at.
    """

    sign: str
    route: str
    found: int
    expected: float
    answers: int


class _Sample(typing.NamedTuple):
    """What one server shows of a sign on one route."""

    server: str
    answers: int
    found: int
    expected: float


_Sign = Callable[[evidences.Evidence, str], list[_Sample]]
_sign_by_name: dict[str, _Sign] = {}


def _register(name: str) -> Callable[[_Sign], _Sign]:
    def _add(sign: _Sign) -> _Sign:
        _sign_by_name[name] = sign
        return sign

    return _add


def find_fault(evidence: evidences.Evidence) -> Fault | None:
    """Return the first fault that the evidence shows, or ``None``."""
    routes = evidence.find_routes()
    for name, sign in _sign_by_name.items():
        samples_by_route = {route: sign(evidence, route) for route in routes}
        for route, samples in samples_by_route.items():
            fault = _test(name, route, samples)
            if fault is not None:
                return fault
        everything = _sum_by_server(samples_by_route.values())
        fault = _test(name, "", everything)
        if fault is not None:
            return fault
    return None


@_register("failures")
def _find_failures(evidence: evidences.Evidence, route: str) -> list[_Sample]:
    reference = evidence.find_reference(route)
    share = _find_upper_share(reference.failures, reference.answers)
    return [
        _Sample(
            server=server,
            answers=tally.answers,
            found=tally.failures,
            expected=tally.answers * (share + _FAILURE_TOLERANCE),
        )
        for server, tally in evidence.find_target(route).items()
    ]


@_register("slow answers")
def _find_slow_answers(
    evidence: evidences.Evidence, route: str
) -> list[_Sample]:
    return [
        *_compare_times(
            evidence, route, "first", 0.9, _SLOW_BUCKETS, _SLOW_TOLERANCE
        ),
        *_compare_times(
            evidence, route, "pace", 0.9, _SLOW_BUCKETS, _SLOW_TOLERANCE
        ),
    ]


@_register("later first bytes")
def _find_later_starts(
    evidence: evidences.Evidence, route: str
) -> list[_Sample]:
    return _compare_times(evidence, route, "first", 0.8, 0, _SHIFTED_SHARE)


@_register("longer pauses")
def _find_longer_pauses(
    evidence: evidences.Evidence, route: str
) -> list[_Sample]:
    return _compare_times(evidence, route, "pace", 0.8, 0, _SHIFTED_SHARE)


def _compare_times(
    evidence: evidences.Evidence,
    route: str,
    measure: str,
    quantile: float,
    buckets: int,
    expected_share: float,
) -> list[_Sample]:
    """Count the times of the target beyond a quantile of the other version."""
    reference = getattr(evidence.find_reference(route), measure)
    if reference.total < _MIN_REFERENCE:
        return []
    limit = reference.find_quantile(quantile) + buckets
    samples = []
    for server, tally in evidence.find_target(route).items():
        times = getattr(tally, measure)
        samples.append(
            _Sample(
                server=server,
                answers=times.total,
                found=times.count_above(limit),
                expected=times.total * expected_share,
            )
        )
    return samples


def _find_upper_share(found: int, answers: int) -> float:
    """Return a share that the true one hardly exceeds."""
    share = (found + 0.5) / (answers + 1.0)
    return share + 2.0 * math.sqrt(share * (1.0 - share) / (answers + 1.0))


def _sum_by_server(groups: Iterable[list[_Sample]]) -> list[_Sample]:
    sum_by_server: dict[str, _Sample] = {}
    for samples in groups:
        for sample in samples:
            known = sum_by_server.get(sample.server)
            if known is not None:
                sample = _Sample(
                    server=sample.server,
                    answers=known.answers + sample.answers,
                    found=known.found + sample.found,
                    expected=known.expected + sample.expected,
                )
            sum_by_server[sample.server] = sample
    return list(sum_by_server.values())


def _test(name: str, route: str, samples: list[_Sample]) -> Fault | None:
    rest = _drop_outliers(_sum_by_server([samples]))
    found = sum(sample.found for sample in rest)
    expected = sum(sample.expected for sample in rest)
    if found < _MIN_FOUND or found <= expected:
        return None
    if find_chance(found, expected) > _MAX_CHANCE:
        return None
    return Fault(
        sign=name,
        route=route,
        found=found,
        expected=round(expected, 2),
        answers=sum(sample.answers for sample in rest),
    )


def _drop_outliers(samples: list[_Sample]) -> list[_Sample]:
    """Return the samples without the servers that stand out."""
    answering = [sample for sample in samples if sample.answers]
    most = int(len(answering) * _MAX_OUTLIERS)
    by_excess = sorted(
        answering,
        key=lambda sample: sample.found - sample.expected,
        reverse=True,
    )
    outliers = [
        sample
        for sample in by_excess[:most]
        if sample.found >= _MIN_OUTLIER_FOUND
        and sample.found - sample.expected
        >= _MIN_OUTLIER_SHARE * sample.answers
    ]
    return by_excess[len(outliers) :]


def find_chance(found: int, expected: float) -> float:
    """Return the probability of so many rare events or more.

    Examples:
        >>> round(find_chance(1, 1.0), 4)
        0.6321
        >>> find_chance(0, 1.0)
        1.0
    """
    expected = max(expected, 1e-9)
    below = sum(
        math.exp(
            number * math.log(expected) - expected - math.lgamma(number + 1)
        )
        for number in range(found)
    )
    return max(1.0 - below, 0.0)
