"""A line that follows observations."""

import random

from daisypick_core.scheduling import learned_line


def test_line_is_learned_from_observations_with_noise():
    """Guards against a prior that keeps weighing on the line."""
    rng = random.Random(3)
    line = learned_line.LearnedLine(
        base=0.03, slope=0.0003, prior_x=32.0, decay=0.99
    )
    for _ in range(300):
        running = rng.uniform(1.0, 64.0)
        seconds = 0.01 + 0.001 * running
        line.learn(running, seconds * rng.uniform(0.8, 1.2))
    assert abs(line.predict(50.0) / 0.06 - 1.0) < 0.1
    assert abs(line.predict(10.0) / 0.02 - 1.0) < 0.2


def test_observations_at_one_place_move_the_line_but_not_its_slope():
    """Guards against a line that keeps its prior while all batches are equal.

    The slope cannot be told then: the variance that it is divided by is zero.
    """
    line = learned_line.LearnedLine(
        base=0.03, slope=0.0003, prior_x=32.0, decay=0.9
    )
    for _ in range(200):
        line.learn(8.0, 0.1)
    assert abs(line.predict(8.0) - 0.1) < 0.005
    assert 0.0 <= line.slope < 0.01
