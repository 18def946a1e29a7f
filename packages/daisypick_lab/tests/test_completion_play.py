"""Long answers beside an overload of prompts."""

from daisypick_lab import completion_play

_SEEDS = (1, 2, 3)


def _play(seed, *, load, has_lengths):
    play = completion_play.Play(
        seed=seed, engines=8, load=load, has_lengths=has_lengths
    )
    return play.run(32.0)


def _find_served_share(outcomes):
    served = sum(found.in_time + found.late for found in outcomes)
    return served / sum(found.asked for found in outcomes)


def test_long_answers_are_served_as_often_as_others_under_overload():
    """Guards against engines that prefill until long answers are cut off.

    The largest tenth is served nine tenths as often as all.
    """
    results = [_play(seed, load=1.5, has_lengths=True) for seed in _SEEDS]
    for name in ("plan", "question"):
        everything = [result.by_kind[name] for result in results]
        largest = [result.largest_by_kind[name] for result in results]
        share = _find_served_share(everything)
        assert _find_served_share(largest) >= 0.9 * share
        cut = sum(found.cut for found in everything)
        assert cut < sum(found.asked for found in everything) / 50


def test_long_answers_are_cut_off_without_predicted_lengths():
    """Shows the failure that the limits answer."""
    result = _play(1, load=1.5, has_lengths=False)
    assert result.largest_by_kind["question"].served_share < 0.3


def test_usual_load_is_served_whole():
    """Guards against limits where no answer is at risk."""
    result = _play(1, load=0.7, has_lengths=True)
    for outcomes in result.by_kind.values():
        assert outcomes.served_share > 0.995
