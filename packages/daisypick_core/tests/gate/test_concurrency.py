from daisypick_core.gate import concurrency


def make_warm(slots=8):
    subject = concurrency.ConcurrencyLimit(slots=slots, cold_slots=1)
    for n in range(200):
        subject.first_token(0.2, n + 0.2)
        subject.finished(is_healthy=True, started_at=n, now=n + 1.0)
    assert subject.limit == slots
    return subject


def test_silently_cold_server_shows_within_two_requests():
    # The server lost its weights and says nothing; its first tokens take
    # two seconds instead of 0.2. One request may be a long prompt: probes go
    # on one at a time. The second confirms: back to the cold limit.
    subject = make_warm()
    subject.first_token(2.0, 302.0)
    assert subject.is_suspicious
    assert subject.allows(running=7, without_token=0)
    assert not subject.allows(running=7, without_token=1)
    subject.first_token(2.0, 304.0)
    assert (subject.limit, subject.is_suspicious) == (1, False)


def test_one_long_prompt_costs_nothing():
    subject = make_warm()
    subject.first_token(2.0, 302.0)
    subject.first_token(0.2, 303.0)
    assert (subject.limit, subject.is_suspicious) == (8, False)
    assert subject.allows(running=7, without_token=7)


def test_silent_server_shows_without_any_answer():
    # The server hangs: no first token ever comes, so no answer can show the
    # leap. The silence itself must count.
    subject = make_warm()
    assert 0.8 < subject.overdue_after < 1.0
    subject.overdue(300.0, 301.0)
    subject.overdue(300.5, 301.5)
    assert subject.limit == 1


def test_errors_that_come_together_are_one_event():
    # A reboot breaks eight running attempts at once. The limit is cut, but
    # the ramp after it must not be punished eight times.
    subject = make_warm()
    for _ in range(8):
        subject.finished(is_healthy=False, started_at=299.0, now=300.0)
    assert subject.limit == 1
    for n in range(14):
        subject.finished(is_healthy=True, started_at=301.0 + n, now=302.0 + n)
    assert subject.limit == 8


def test_server_that_keeps_falling_over_is_pushed_less_often():
    # A server falls over whenever a second request runs. Each fall must
    # make the next push rarer, or it never gets through its cold start.
    subject = concurrency.ConcurrencyLimit(slots=8, cold_slots=1)
    answers_by_fall = []
    now = 0.0
    for _ in range(4):
        answers = 0
        while subject.limit == 1:
            now += 1.0
            answers += 1
            subject.finished(is_healthy=True, started_at=now - 0.5, now=now)
        answers_by_fall.append(answers)
        now += 1.0
        subject.finished(is_healthy=False, started_at=now - 0.5, now=now)
    assert answers_by_fall == [1, 2, 4, 8]


def test_ramp_waits_while_first_tokens_do_not_keep_up():
    subject = concurrency.ConcurrencyLimit(slots=8, cold_slots=1)
    subject.first_token(0.2, 1.0)
    subject.finished(is_healthy=True, started_at=0.0, now=2.0)
    assert subject.limit == 2
    subject.first_token(0.6, 3.0)
    subject.finished(is_healthy=True, started_at=2.0, now=4.0)
    assert subject.limit == 2
    subject.first_token(0.2, 5.0)
    subject.finished(is_healthy=True, started_at=4.0, now=6.0)
    assert subject.limit == 3


def test_service_that_became_slower_for_good_is_ramped_again():
    # Prompts grow tenfold and stay so. The baseline must follow, or the
    # server would be held at its cold limit for good.
    subject = make_warm()
    for n in range(100):
        subject.first_token(2.0, 400.0 + n)
        subject.finished(is_healthy=True, started_at=398 + n, now=401.0 + n)
    assert subject.limit == 8
