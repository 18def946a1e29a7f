from daisypick_core.gate import concurrency


def make_warm(slots=8):
    subject = concurrency.ConcurrencyLimit(slots=slots, cold_slots=1)
    for n in range(200):
        subject.first_token(0.2, n + 0.2)
        subject.finished(is_healthy=True, started_at=n, now=n + 1.0)
    assert subject.limit == slots
    return subject


def test_unannounced_cold_server_is_detected_within_two_requests():
    # A server becomes cold without a new boot id; its time to first token
    # rises from 0.2 to 2 seconds. The first request may be a long prompt, so
    # attempts continue one at a time. The second confirms the cold server.
    subject = make_warm()
    subject.first_token(2.0, 302.0)
    assert subject.is_suspicious
    assert subject.allows(running=7, without_token=0)
    assert not subject.allows(running=7, without_token=1)
    subject.first_token(2.0, 304.0)
    assert (subject.limit, subject.is_suspicious) == (1, False)


def test_one_long_prompt_does_not_reduce_the_limit():
    subject = make_warm()
    subject.first_token(2.0, 302.0)
    subject.first_token(0.2, 303.0)
    assert (subject.limit, subject.is_suspicious) == (8, False)
    assert subject.allows(running=7, without_token=7)


def test_hanging_server_is_detected_without_any_response():
    # A hanging server never produces a first token, so that no time to first
    # token is recorded. Overdue first tokens must count as outliers.
    subject = make_warm()
    assert 0.8 < subject.overdue_after < 1.0
    subject.overdue(300.0, 301.0)
    subject.overdue(300.5, 301.5)
    assert subject.limit == 1


def test_simultaneous_errors_are_one_event():
    # A reboot fails eight running attempts at once. The limit is reduced, but
    # the backoff of the ramp must not grow with each of the eight errors.
    subject = make_warm()
    for _ in range(8):
        subject.finished(is_healthy=False, started_at=299.0, now=300.0)
    assert subject.limit == 1
    for n in range(14):
        subject.finished(is_healthy=True, started_at=301.0 + n, now=302.0 + n)
    assert subject.limit == 8


def test_backoff_grows_while_a_server_crashes_repeatedly():
    # A server crashes whenever a second request runs. Each crash must delay
    # the next increase further, or the server never completes its cold start.
    subject = concurrency.ConcurrencyLimit(slots=8, cold_slots=1)
    responses_by_crash = []
    now = 0.0
    for _ in range(4):
        responses = 0
        while subject.limit == 1:
            now += 1.0
            responses += 1
            subject.finished(is_healthy=True, started_at=now - 0.5, now=now)
        responses_by_crash.append(responses)
        now += 1.0
        subject.finished(is_healthy=False, started_at=now - 0.5, now=now)
    assert responses_by_crash == [1, 2, 4, 8]


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


def test_permanently_slower_service_is_ramped_again():
    # Prompts become ten times longer and stay so. The baseline must follow,
    # or the server would stay at its cold limit permanently.
    subject = make_warm()
    for n in range(100):
        subject.first_token(2.0, 400.0 + n)
        subject.finished(is_healthy=True, started_at=398 + n, now=401.0 + n)
    assert subject.limit == 8
