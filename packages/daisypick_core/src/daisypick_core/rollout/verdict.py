"""Whether the answers of a version show a fault of its own.

Sound servers fail too: some requests have errors of their own, and servers
crash, hang and turn slow. So the target is compared with the version in force
on the same routes at the same time. Of both, servers that stand out are left
out, up to half of them, since a fault of the version shows on most. Beside
that, the likelihood of a faulty version is compared with that of faulty
servers, which tells smaller faults, and those on the few servers of a probe.

These signs are tested for each route and for all routes together:

* failures;
* slow answers: those that take over twice the time which nine in ten answers
  of the version in force stay below;
* a shift of the times: answers that take longer than four in five of the
  version in force. New servers have nothing cached and thus exceed it more
  often; a version that is several times slower exceeds it nearly always.

Times count to the first byte and from event to event. They depend on the load
of the moment, so they are compared with those of the same time; where all
traffic has moved there are none, and only answers that are much later count.

Examples:
    >>> from daisypick_core.rollout import evidence as evidences
    >>> evidence = evidences.Evidence()
    >>> for number in range(100):
    ...     answer = evidences.Answer("look", "i-0", False, failed=False)
    ...     evidence.add(answer)
    >>> for number in range(12):
    ...     server = f"i-{number % 4}"
    ...     evidence.add(evidences.Answer("look", server, True, failed=True))
    >>> find_failures(reference=evidence, target=evidence)
    Fault(sign='failures', route='look', found=12, expected=0.35, answers=12)
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
import statistics
import typing

from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import likelihood

# Largest probability at which a sign may appear on a sound version. Some seven
# strata and six signs are tested some forty times on data that grow, so a sound
# version is rejected in about one roll-out of 500.
_MAX_CHANCE = 2e-5
# Fewest signs that count, so that two mishaps reject nothing.
_MIN_FOUND = 4
# Differences in the share of failures and of slow answers that do not count.
_FAILURE_TOLERANCE = 0.01
_SLOW_TOLERANCE = 0.03
# Share of a sound version's answers that may exceed the time which four in five
# of the version in force stay below: without any cached prefix twice as many.
_SHIFTED_SHARE = 0.45
# Logarithm of the ratio of likelihoods at which a version is rejected. A sound
# one reaches it at most in one of 8,000 roll-outs for each of the six signs.
REJECTED_LOG_ODDS = 9.0
# That at which it is not approved at the end of its test, where it is compared
# once. The largest of 2,400 sets of 350 or 500 answers of sound versions, of
# which 800 had six faulty servers and 800 lost answers, was 1.9.
DOUBTED_LOG_ODDS = 2.0
# A bucket is a quarter longer than the one before, so three are twice as long.
_SLOW_BUCKETS = 3
# The same for times of another time: six times as long.
_LATER_SLOW_BUCKETS = 8
# Fewest times of the version in force that a comparison is based on.
_MIN_REFERENCE = 25
# A server stands out with so many signs, if that many are so improbable at the
# share which the median server has. Of twenty that are alike, one does in one
# case of five.
_MIN_OUTLIER_FOUND = 2
_MAX_OUTLIER_CHANCE = 0.01
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
    """What one server shows of a sign on one route.

    Attributes:
        server: Name of the server.
        answers: Its answers.
        found: Those with the sign.
        expected: Those that would have it on a sound version, with a tolerance.
        likely: The same without one.
        margin: What these could be more, as the share is known from answers.
    """

    server: str
    answers: int
    found: int
    expected: float
    likely: float
    margin: float = 0.0


_Tallies = Mapping[str, evidences.Tally]
_Sign = Callable[[_Tallies, _Tallies], list[_Sample]]


def find_failures(
    *,
    reference: evidences.Evidence,
    target: evidences.Evidence,
    log_odds: float = REJECTED_LOG_ODDS,
) -> Fault | None:
    """Return a fault if too many answers of a target are failures.

    Args:
        reference: Evidence with the answers of the version in force.
        target: Evidence with the answers of the target.
        log_odds: Logarithm of the likelihood ratio from which on it is one.
    """
    return _find_fault(
        {"failures": _count_failures}, [(reference, target)], log_odds
    )


def find_slowness(slices: Iterable[evidences.Evidence]) -> Fault | None:
    """Return a fault if too many answers of a target are slow.

    Args:
        slices: Answers of both versions, of one short time each. The times of
            each are compared among themselves, and the counts are added.
    """
    return _find_fault(
        _SLOW_SIGNS, [(found, found) for found in slices], REJECTED_LOG_ODDS
    )


def find_later_slowness(
    *, reference: evidences.Evidence, target: evidences.Evidence
) -> Fault | None:
    """Return a fault if too many answers are much slower than earlier ones.

    Args:
        reference: Evidence with earlier answers of the version in force.
        target: Evidence with later answers of the target.
    """
    return _find_fault(
        _LATER_SLOW_SIGNS, [(reference, target)], REJECTED_LOG_ODDS
    )


def is_comparable(evidence: evidences.Evidence) -> bool:
    """Return whether the times of all routes can be compared."""
    return all(
        sum(
            tally.first.total
            for tally in evidence.find_tallies(route, is_target=False).values()
        )
        >= _MIN_REFERENCE
        for route in evidence.find_routes()
    )


def _find_fault(
    signs: Mapping[str, _Sign],
    pairs: list[tuple[evidences.Evidence, evidences.Evidence]],
    log_odds: float,
) -> Fault | None:
    """Return the first fault, of pairs of evidence that are added."""
    tallies = [_find_tallies(*pair) for pair in pairs]
    routes = sorted({route for found in tallies for route in found})
    for name, sign in signs.items():
        samples_by_route = {
            route: _sum_by_server(
                sign(*found[route]) for found in tallies if route in found
            )
            for route in routes
        }
        everything = _sum_by_server(samples_by_route.values())
        rest = {sample.server for sample in _drop_outliers(everything)}
        for route, samples in (*samples_by_route.items(), ("", everything)):
            fault = _test(
                name,
                route,
                [sample for sample in samples if sample.server in rest],
            )
            if fault is not None:
                return fault
        fault = _weigh(name, samples_by_route, log_odds)
        if fault is not None:
            return fault
    return None


def _weigh(
    name: str,
    samples_by_route: Mapping[str, list[_Sample]],
    log_odds: float,
) -> Fault | None:
    """Return a fault if one of the version explains the sign far better."""
    odds_by_route = _find_odds(samples_by_route)
    if not odds_by_route or _combine(odds_by_route) < log_odds:
        return None
    worst = max(odds_by_route, key=lambda route: odds_by_route[route])
    shown = [
        sample
        for route, samples in samples_by_route.items()
        for sample in samples
        if worst in ("", route)
    ]
    return Fault(
        sign=name,
        route=worst,
        found=sum(sample.found for sample in shown),
        expected=round(sum(sample.expected for sample in shown), 2),
        answers=sum(sample.answers for sample in shown),
    )


def _combine(odds_by_route: Mapping[str, float]) -> float:
    """Return the odds of a fault of all routes or of any one.

    The former is as likely as the latter, and each route as another.
    """
    of_one = [odds for route, odds in odds_by_route.items() if route]
    return likelihood.find_log_mean(
        [odds_by_route[""], likelihood.find_log_mean(of_one)]
    )


def _find_odds(
    samples_by_route: Mapping[str, list[_Sample]],
) -> dict[str, float]:
    """Return the log odds of a fault by route; those of all have no name.

    Where a sign is not more frequent than on a sound version there is no fault
    of the version, and with thousands of servers the likelihoods take long.
    """
    total_by_route = {
        route: _sum_all(samples)
        for route, samples in samples_by_route.items()
        if any(sample.answers for sample in samples)
    }
    if not total_by_route:
        return {}
    # The shares of several routes are hardly all too low at once.
    margins = [total.margin for total in total_by_route.values()]
    part = math.hypot(*margins) / max(sum(margins), 1e-9)
    odds_by_route = {
        route: likelihood.find_log_odds(
            [
                [_make_stratum(sample, total, 1.0)]
                for sample in samples_by_route[route]
            ]
        )
        if total.found > total.likely + total.margin
        else -math.inf
        for route, total in total_by_route.items()
    }
    total = _sum_all(total_by_route.values())
    odds_by_route[""] = -math.inf
    if total.found > total.likely + total.margin * part:
        strata_by_server: dict[str, list[likelihood.Stratum]] = (
            collections.defaultdict(list)
        )
        for route, total in total_by_route.items():
            for sample in samples_by_route[route]:
                strata_by_server[sample.server].append(
                    _make_stratum(sample, total, part)
                )
        odds_by_route[""] = likelihood.find_log_odds(
            list(strata_by_server.values())
        )
    return odds_by_route


def _sum_all(samples: Iterable[_Sample]) -> _Sample:
    """Return the sums of all servers."""
    samples = list(samples)
    return _Sample(
        server="",
        answers=sum(sample.answers for sample in samples),
        found=sum(sample.found for sample in samples),
        expected=sum(sample.expected for sample in samples),
        likely=sum(sample.likely for sample in samples),
        margin=sum(sample.margin for sample in samples),
    )


def _make_stratum(
    sample: _Sample, total: _Sample, part: float
) -> likelihood.Stratum:
    """Return a server's answers with the share of its route."""
    return likelihood.Stratum(
        answers=sample.answers,
        found=sample.found,
        share=(total.likely + total.margin * part) / total.answers,
    )


def _find_tallies(
    reference: evidences.Evidence, target: evidences.Evidence
) -> dict[str, tuple[_Tallies, _Tallies]]:
    """Return the tallies of both versions by route."""
    sound = _find_sound_servers(reference)
    return {
        route: (
            {
                server: tally
                for server, tally in reference.find_tallies(
                    route, is_target=False
                ).items()
                if server in sound
            },
            target.find_tallies(route, is_target=True),
        )
        for route in target.find_routes()
    }


def _count_failures(reference: _Tallies, target: _Tallies) -> list[_Sample]:
    share, margin = _find_share(reference)
    upper = min(share + margin + _FAILURE_TOLERANCE, 1.0)
    return [
        _Sample(
            server=server,
            answers=tally.answers,
            found=tally.failures,
            expected=tally.answers * upper,
            likely=tally.answers * share,
            margin=tally.answers * margin,
        )
        for server, tally in target.items()
    ]


def _get_first(tally: evidences.Tally) -> evidences.Histogram:
    return tally.first


def _get_pace(tally: evidences.Tally) -> evidences.Histogram:
    return tally.pace


def _compare(
    reference: _Tallies,
    target: _Tallies,
    get_times: Callable[[evidences.Tally], evidences.Histogram],
    quantile: float,
    buckets: int,
) -> list[_Sample]:
    """Count the times of the target beyond a quantile of the other version."""
    known = evidences.Histogram()
    for tally in reference.values():
        known.merge(get_times(tally))
    if known.total < _MIN_REFERENCE:
        return []
    limit = known.find_quantile(quantile) + buckets
    share = known.count_above(limit) / known.total + _SLOW_TOLERANCE
    if not buckets:
        share = max(share, _SHIFTED_SHARE)
    samples = []
    for server, tally in target.items():
        times = get_times(tally)
        samples.append(
            _Sample(
                server=server,
                answers=times.total,
                found=times.count_above(limit),
                expected=times.total * share,
                likely=times.total * share,
            )
        )
    return samples


def _make_sign(
    get_times: Callable[[evidences.Tally], evidences.Histogram],
    quantile: float,
    buckets: int,
) -> _Sign:
    def _sign(reference: _Tallies, target: _Tallies) -> list[_Sample]:
        return _compare(reference, target, get_times, quantile, buckets)

    return _sign


_SLOW_SIGNS = {
    "late first bytes": _make_sign(_get_first, 0.9, _SLOW_BUCKETS),
    "long pauses": _make_sign(_get_pace, 0.9, _SLOW_BUCKETS),
    "later first bytes": _make_sign(_get_first, 0.8, 0),
    "longer pauses": _make_sign(_get_pace, 0.8, 0),
}
_LATER_SLOW_SIGNS = {
    "late first bytes": _make_sign(_get_first, 0.9, _LATER_SLOW_BUCKETS),
    "long pauses": _make_sign(_get_pace, 0.9, _LATER_SLOW_BUCKETS),
}


def _find_sound_servers(reference: evidences.Evidence) -> set[str]:
    """Return the servers of the version in force that do not stand out."""
    samples = [
        _Sample(
            server=server,
            answers=tally.answers,
            found=tally.failures,
            expected=0.0,
            likely=0.0,
        )
        for route in reference.find_routes()
        for server, tally in reference.find_tallies(
            route, is_target=False
        ).items()
    ]
    rest = _drop_outliers(_sum_by_server([samples]))
    return {sample.server for sample in rest}


def _find_share(reference: _Tallies) -> tuple[float, float]:
    """Return the share of failures, and by how much it may be larger."""
    answers = sum(tally.answers for tally in reference.values())
    failures = sum(tally.failures for tally in reference.values())
    share = (failures + 0.5) / (answers + 1.0)
    return share, 2.0 * math.sqrt(share * (1.0 - share) / (answers + 1.0))


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
                    likely=known.likely + sample.likely,
                    margin=known.margin + sample.margin,
                )
            sum_by_server[sample.server] = sample
    return list(sum_by_server.values())


def _test(name: str, route: str, samples: list[_Sample]) -> Fault | None:
    found = sum(sample.found for sample in samples)
    expected = sum(sample.expected for sample in samples)
    answers = sum(sample.answers for sample in samples)
    if found < _MIN_FOUND or found <= expected:
        return None
    if find_chance(found, answers, expected / answers) > _MAX_CHANCE:
        return None
    return Fault(
        sign=name,
        route=route,
        found=found,
        expected=round(expected, 2),
        answers=answers,
    )


def _drop_outliers(samples: list[_Sample]) -> list[_Sample]:
    """Return the samples without the servers that stand out."""
    answering = [sample for sample in samples if sample.answers]
    if not answering:
        return []
    median = statistics.median(
        sample.found / sample.answers for sample in answering
    )
    chance_by_server = {
        sample.server: find_chance(
            sample.found,
            sample.answers,
            max(median, sample.expected / sample.answers),
        )
        for sample in answering
        if sample.found >= _MIN_OUTLIER_FOUND
    }
    outliers = sorted(
        (chance, server)
        for server, chance in chance_by_server.items()
        if chance < _MAX_OUTLIER_CHANCE
    )
    most = int(len(answering) * _MAX_OUTLIERS)
    dropped = {server for _, server in outliers[:most]}
    return [sample for sample in answering if sample.server not in dropped]


def find_chance(found: int, answers: int, share: float) -> float:
    """Return the probability of so many of the answers or more.

    Answers of several routes with different shares are less spread than those
    with the mean of the shares, so their probability is at most this.

    Examples:
        >>> round(find_chance(2, 2, 0.5), 4)
        0.25
        >>> round(find_chance(1, 2, 0.5), 4)
        0.75
    """
    if share >= 1.0:
        return 1.0
    share = max(share, 1e-9)
    odds = share / (1.0 - share)
    term = (
        math.lgamma(answers + 1)
        - math.lgamma(found + 1)
        - math.lgamma(answers - found + 1)
        + found * math.log(share)
        + (answers - found) * math.log1p(-share)
    )
    probability = math.exp(term)
    total = 0.0
    for number in range(found, answers + 1):
        total += probability
        probability *= (answers - number) / (number + 1) * odds
        if probability < total * 1e-9:
            break
    return total
