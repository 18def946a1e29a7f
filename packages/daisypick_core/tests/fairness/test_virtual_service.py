from daisypick_core.fairness import virtual_service


def make_service(*organisations, **shares):
    subject = virtual_service.VirtualService(share_by_organisation=shares)
    for name in organisations:
        subject.activate(name, 0.0)
    return subject


def run(subject, tokens_by_name, *, start, end):
    """Let organisations wait and receive service each second."""
    for second in range(start, end):
        now = float(second)
        for name, tokens in tokens_by_name.items():
            subject.activate(name, now)
            subject.grow(name, tokens, now)
        subject.refresh(tokens_by_name, now)


def test_fleet_wide_return_from_idle_starts_at_the_virtual_time():
    subject = make_service("farm", "union")
    run(subject, {"farm": 10.0, "union": 10.0}, start=1, end=10)
    run(subject, {"farm": 10.0}, start=10, end=100)
    assert subject.virtual("union") == 90.0
    subject.activate("union", 100.0)
    assert subject.virtual("union") == subject.time == 990.0


def test_late_report_does_not_reset_a_lag():
    # Reports are late, so that an organisation seems not to wait for a while.
    # If it were lifted to the virtual time, no lag would ever be corrected.
    subject = make_service("farm", "union")
    run(subject, {"farm": 30.0, "union": 10.0}, start=1, end=10)
    run(subject, {"farm": 30.0}, start=10, end=13)
    subject.activate("union", 13.0)
    assert subject.virtual("union") == 90.0
    subject.set_idle_seconds(60.0)
    run(subject, {"farm": 30.0}, start=13, end=60)
    subject.activate("union", 60.0)
    assert subject.virtual("union") == 90.0


def test_lags_are_clamped_on_both_sides():
    # "union" reaches only one small agent for an hour, while "farm" has a
    # region to itself. Once both reach all agents, "union" must not dominate
    # the fleet because of its lag, and "farm" must not be starved.
    subject = make_service("farm", "union", "studio")
    subject.note_largest(1.0)
    work = {"farm": 1000.0, "union": 1.0, "studio": 100.0}
    run(subject, work, start=1, end=3600)
    bound = subject.max_lag
    assert 0.0 < bound < 61 * 1101.0 / 3
    for name in work:
        assert abs(subject.virtual(name) - subject.time) <= 2 * bound
    assert subject.virtual("farm") - subject.virtual("union") < 3 * bound


def test_value_of_another_head_is_a_lower_bound():
    subject = make_service("union")
    subject.grow("union", 50.0, 0.0)
    subject.raise_floor("union", 40.0, 0.0)
    assert subject.virtual("union") == 50.0
    subject.raise_floor("union", 60.0, 0.0)
    assert subject.virtual("union") == 60.0
    subject.grow("union", 5.0, 0.0)
    assert subject.virtual("union") == 60.0
    assert not subject.adopt("union", 55.0, 0.0)
    assert subject.adopt("union", 70.0, 0.0)
    subject.grow("union", 5.0, 0.0)
    assert subject.virtual("union") == 75.0


def test_drop_older_removes_inactive_organisations():
    subject = make_service("farm", "union")
    subject.grow("union", 1.0, 50.0)
    subject.drop_older(10.0)
    assert (len(subject), subject.virtual("farm")) == (1, None)
