from daisypick_core.fairness import share_order
from daisypick_core.gate import actions
from daisypick_core.gate import concurrency
from daisypick_core.gate import gate as core_gate
from daisypick_core.messages import attempt as attempt_message

SLOTS = 8
COLD_SLOTS = 2
TOKENS_PER_SLOT = 64
RESPONSE_TOKENS = 20


def make_attempt(number):
    return attempt_message.Attempt(
        attempt_id=f"a{number}",
        request_id=f"r{number}",
        organisation="union",
        service="assistant",
        estimate=float(RESPONSE_TOKENS),
        deadline=1e9,
        incarnation="g",
        epoch=0,
        router="127.0.0.1:1",
    )


def test_limit_stays_within_the_capacity_of_a_slowly_warming_server():
    # A cold server can handle two requests, plus one for each 64 tokens that
    # it has served, and crashes beyond that. Until then its responses are
    # short and healthy, without any sign in its latency. A limit that
    # increases by one per response exceeds this capacity, and callers lose
    # their responses in the crash.
    gate = core_gate.Gate(
        incarnation="g",
        order=share_order.ShareOrder(share_by_organisation={}),
        limit=concurrency.ConcurrencyLimit(slots=SLOTS, cold_slots=COLD_SLOTS),
    )
    running = []
    served = 0
    for number in range(60):
        now = float(number)
        due = gate.offer(make_attempt(number), now)
        if number >= COLD_SLOTS + 4:
            served += RESPONSE_TOKENS
            ended = running.pop(0)
            due += gate.finish(
                ended, cost=RESPONSE_TOKENS, is_healthy=True, now=now
            )
        running += [
            action.attempt.attempt_id
            for action in due
            if isinstance(action, actions.Start)
        ]
        capacity = min(SLOTS, COLD_SLOTS + served // TOKENS_PER_SLOT)
        assert len(running) <= capacity
