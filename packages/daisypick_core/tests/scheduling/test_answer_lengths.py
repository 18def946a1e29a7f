"""Simulated answers of one route, and what is predicted for the next ones."""

import math
import random

import pytest

from daisypick_core.scheduling import answer_lengths

# A caller's estimate is right at the median and off by a factor of 2.2 at 5 in
# 100 in either direction.
_SIGMA = math.log(2.2) / 1.645
_TOKENS_PER_EVENT = 3


def _draw(rng, hint):
    tokens = hint * math.exp(rng.gauss(0.0, _SIGMA))
    return max(int(tokens / _TOKENS_PER_EVENT), 1)


def _learn(lengths, rng, count, *, longest=math.inf, factor=1.0):
    for _ in range(count):
        hint = rng.randrange(60, 900)
        events = int(_draw(rng, hint) * factor) + 1
        lengths.learn(
            "visit",
            hint=hint,
            maximum=2000,
            events=int(min(events, longest)),
            is_cut=events > longest,
        )


def _check_shares(lengths, rng, *, passed=0):
    """Check the shares of answers up to the median, and up to nine in ten.

    The bounds are three standard deviations: with a decay of 0.99 a histogram
    weighs as much as 199 answers, of which the longer ones count.
    """
    predicted = lengths.predict("visit", hint=600, maximum=2000, passed=passed)
    rest = [
        events - passed
        for events in (_draw(rng, 600) for _ in range(20_000))
        if events > passed
    ]
    answers = 199 * len(rest) / 20_000
    for limit, share in zip(predicted, (0.5, 0.9), strict=True):
        found = sum(one <= limit for one in rest) / len(rest)
        deviation = math.sqrt(share * (1.0 - share) / answers)
        assert abs(found - share) < 3.0 * deviation


@pytest.mark.parametrize("passed", [0, 150, 260])
def test_shares_of_answers_are_as_predicted(passed):
    """Also for the rest of an answer of which events were received."""
    rng = random.Random(1)
    lengths = answer_lengths.AnswerLengths()
    _learn(lengths, rng, 400)
    _check_shares(lengths, rng, passed=passed)


def test_answers_that_are_cut_do_not_shorten_the_prediction():
    """Guards against taking answers that end at deadlines for short ones."""
    rng = random.Random(2)
    lengths = answer_lengths.AnswerLengths()
    _learn(lengths, rng, 400, longest=300)
    _check_shares(lengths, rng)


def test_answers_that_callers_resume_count_once():
    """Guards against long answers that look more frequent than they are.

    Each answer of more than 150 events is cut there and resumed by its caller.
    The mean of 20 histograms has a fifth of the deviation of one.
    """
    shares = []
    for seed in range(20):
        rng = random.Random(seed)
        lengths = answer_lengths.AnswerLengths()
        for _ in range(600):
            hint = rng.randrange(60, 900)
            events = _draw(rng, hint)
            lengths.learn(
                "visit",
                hint=hint,
                maximum=0,
                events=min(events, 150),
                is_cut=events > 150,
            )
            lengths.learn(
                "visit",
                hint=hint,
                maximum=0,
                events=events,
                resumed_after=150,
            )
        median = lengths.predict("visit", hint=600, maximum=0).expected
        shares.append(sum(_draw(rng, 600) <= median for _ in range(2000)))
    assert abs(sum(shares) / (2000 * 20) - 0.5) < 0.04


def test_change_of_the_lengths_shows_after_some_hundred_answers():
    rng = random.Random(3)
    lengths = answer_lengths.AnswerLengths()
    _learn(lengths, rng, 2000)
    before = lengths.predict("visit", hint=600, maximum=2000)
    _learn(lengths, rng, 300, factor=3.0)
    after = lengths.predict("visit", hint=600, maximum=2000)
    assert 2.4 < after.expected / before.expected < 3.6


def test_number_of_routes_is_bounded():
    lengths = answer_lengths.AnswerLengths()
    for number in range(2000):
        for _ in range(8):
            lengths.learn(f"r-{number}", hint=10, maximum=0, events=5)
    assert lengths.predict("r-0", hint=10, maximum=0).expected == 0.0
    assert lengths.predict("r-1999", hint=10, maximum=0).expected > 0.0
    assert len(lengths._histograms) <= 512
