"""How long an engine may prefill without a break."""

import random

from daisypick_core.scheduling import pause_limit


def _learn(limit, rng, *, slow_share, count):
    """Pauses follow the prefill, which is slower for a share of the answers.

    Returns:
        Share of the answers with too long a pause.
    """
    late = 0
    for _ in range(count):
        seconds = limit.find_prefill_seconds(0.4, event_seconds=0.05)
        slowness = 2.5 if rng.random() < slow_share else 1.0
        longest = slowness * (0.05 + min(seconds, 0.3))
        late += longest > 0.4
        limit.learn(longest=longest, limit=0.4)
    return late / count


def test_limit_vanishes_where_no_pause_is_too_long():
    """Guards against breaks on engines whose prefill disturbs no answer."""
    limit = pause_limit.PauseLimit()
    _learn(limit, random.Random(1), slow_share=0.0, count=500)
    assert limit.find_prefill_seconds(0.4, event_seconds=0.05) > 10.0


def test_slow_moments_leave_one_answer_in_ten_late():
    """Half of the answers meet a moment in which an engine is slower."""
    limit = pause_limit.PauseLimit()
    rng = random.Random(2)
    _learn(limit, rng, slow_share=0.5, count=200)
    assert _learn(limit, rng, slow_share=0.5, count=2000) < 0.15
