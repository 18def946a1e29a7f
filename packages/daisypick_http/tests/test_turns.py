"""Turns of connections with much to parse."""

import gevent

from daisypick_http import turns


def test_each_gets_its_turn_in_order_and_the_loop_runs_between():
    """Guards against connections that keep the event loop for themselves."""
    queue, steps = turns.Turns(), []

    def _work(name):
        for _ in range(3):
            queue.wait()
            steps.append(name)

    def _tick():
        while True:
            steps.append("loop")
            gevent.sleep(0.0005)

    ticker = gevent.spawn(_tick)
    gevent.joinall([gevent.spawn(_work, n) for n in range(8)])
    ticker.kill()
    worked = [step for step in steps if step != "loop"]
    assert worked == [*range(8)] * 3
    assert len(queue) == 0
