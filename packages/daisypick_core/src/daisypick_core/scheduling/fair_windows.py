"""Organisations that were starved relative to the best served one.

An organisation is *starved* throughout a span if in each second of it one of
its requests is refused, or starts late. Its entitlement in the span is half of
its demand, or half of what the best served organisation got, whichever is
less, second by second. The margin is the ratio of what it got, plus three of
its largest requests as tolerance, to its entitlement: below one the fleet was
unfair to it.

Examples:
    >>> flood = [Second(asked=900.0, got=100.0, missed=True, largest=10.0)] * 6
    >>> best = [Second(asked=600.0, got=600.0, missed=False, largest=10.0)] * 6
    >>> (least,) = find_least_served(
    ...     {"flood": dict(enumerate(flood)), "best": dict(enumerate(best))}
    ... )
    >>> least.organisation, least.best, least.begins, least.margin
    ('flood', 'best', 0, 0.35)
"""

from collections.abc import Mapping
import typing

SPAN_SECONDS = 6
# Requests that may have started shortly before or after the span.
_TOLERATED_REQUESTS = 3
_ENTITLED_SHARE = 0.5

_SecondBySecond = Mapping[int, "Second"]


class Second(typing.NamedTuple):
    """One organisation in one second, in tokens.

    Attributes:
        asked: Tokens of the requests that arrived.
        got: Tokens of the requests that started.
        missed: Whether a request was refused, or started late or never.
        largest: Tokens of the largest request.
    """

    asked: float
    got: float
    missed: bool
    largest: float


class Served(typing.NamedTuple):
    """What an organisation got in a span throughout which it was starved.

    Attributes:
        organisation: Name of the organisation.
        begins: First second of the span.
        asked: Tokens that it demanded.
        got: Tokens that it got.
        best: Name of the best served organisation.
        best_got: Tokens that the best served organisation got.
        margin: Ratio of what it got, with the tolerance, to its entitlement.
    """

    organisation: str
    begins: int
    asked: float
    got: float
    best: str
    best_got: float
    margin: float


_NOTHING = Second(asked=0.0, got=0.0, missed=False, largest=0.0)


def find_least_served(
    by_organisation: Mapping[str, _SecondBySecond],
) -> list[Served]:
    """Return the worst span of each organisation that was ever starved.

    Args:
        by_organisation: For each organisation its seconds, by their number.
    """
    numbers = {
        number for seconds in by_organisation.values() for number in seconds
    }
    if not numbers:
        return []
    worst: dict[str, Served] = {}
    for begins in range(min(numbers), max(numbers) - SPAN_SECONDS + 2):
        for served in _evaluate_span(by_organisation, begins):
            previous = worst.get(served.organisation)
            if previous is None or served.margin < previous.margin:
                worst[served.organisation] = served
    return sorted(worst.values(), key=lambda served: served.margin)


def _evaluate_span(
    by_organisation: Mapping[str, _SecondBySecond], begins: int
) -> list[Served]:
    spans = {
        organisation: [
            seconds.get(number, _NOTHING)
            for number in range(begins, begins + SPAN_SECONDS)
        ]
        for organisation, seconds in by_organisation.items()
    }
    best = max(spans, key=lambda organisation: _sum_got(spans[organisation]))
    starved = []
    for organisation, span in spans.items():
        if not all(second.missed for second in span):
            continue
        entitled = _ENTITLED_SHARE * sum(
            min(own.asked, best_second.got)
            for own, best_second in zip(span, spans[best], strict=True)
        )
        if entitled <= 0.0:
            continue
        tolerance = _TOLERATED_REQUESTS * max(second.largest for second in span)
        starved.append(
            Served(
                organisation=organisation,
                begins=begins,
                asked=sum(second.asked for second in span),
                got=_sum_got(span),
                best=best,
                best_got=_sum_got(spans[best]),
                margin=round((_sum_got(span) + tolerance) / entitled, 3),
            )
        )
    return starved


def _sum_got(span: list[Second]) -> float:
    return sum(second.got for second in span)
