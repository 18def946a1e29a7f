from daisypick_core.fairness import head
from daisypick_core.fairness import reports


def make_head(incarnation="h1"):
    return head.Head(
        incarnation=incarnation, share_by_organisation={"studio": 4.0}
    )


def make_report(sequence, served=None, **fields):
    """Return a relay: ``served`` maps (incarnation, organisation) to marks."""
    incarnations = sorted({incarnation for incarnation, _ in served or {}})
    marks = {}
    for (incarnation, organisation), mark in (served or {}).items():
        row = reports.RelayMark(incarnations.index(incarnation), *mark)
        marks.setdefault(organisation, []).append(row)
    values = {
        "incarnation": "c1",
        "sequence": sequence,
        "service": "desk",
        "head": "",
        "agents": 1,
        "fleet_time": None,
        "largest": 1000.0,
        "incarnations": incarnations,
        "marks_by_organisation": marks,
        "reach_by_organisation": {"union": 1, "studio": 2},
        "virtual_by_organisation": {},
    } | fields
    return reports.RelayReport(**values)


def settle(subject, now=0.0):
    """Report without growth until the head has settled."""
    sequence = 0
    while subject.receive(make_report(sequence), now).settled_for <= 0.0:
        sequence += 1
        now += 1.0
    return now


def test_duplicate_late_and_reordered_reports_are_counted_once():
    # The same marks arrive twice, then older ones after newer ones. If they
    # were counted again, their organisation would seem ahead and be starved.
    subject = make_head()
    first = make_report(1, {("a1", "union"): (10, 0)})
    second = make_report(2, {("a1", "union"): (30, 0)})
    for report in (first, first, second, first, second):
        subject.receive(report, 0.0)
    assert subject.virtual("union") == 30.0
    late = make_report(
        0, {("a1", "studio"): (8, 0)}, reach_by_organisation={}, agents=9
    )
    answer = subject.receive(late, 0.0)
    assert (subject.virtual("studio"), answer.agents) == (2.0, 1)
    assert answer.rows == [reports.HeadRow("studio", 2.0, 2)]


def test_marks_from_two_collectors_are_counted_once():
    # Two agents both act as collector and relay the same marks.
    subject = make_head()
    marks = {("a1", "union"): (10, 0), ("a2", "union"): (5, 0)}
    subject.receive(make_report(1, marks), 0.0)
    subject.receive(make_report(1, marks, incarnation="c2"), 0.0)
    assert subject.virtual("union") == 15.0


def test_dead_incarnation_does_not_change_virtual_service():
    # An agent with a large total dies and its marks are dropped; its next
    # incarnation counts from 0. Neither may change the virtual service.
    subject = make_head()
    now = settle(subject)
    subject.receive(make_report(50, {("a1", "union"): (90, 0)}), now)
    before = subject.virtual("union")
    for step in range(1, 1500):
        report = make_report(50 + step, {("b1", "union"): (step, 0)})
        subject.receive(report, now + step)
    assert subject.virtual("union") == before + 1499
    assert len(subject) == 1


def test_report_for_a_previous_incarnation_is_discarded():
    # The head restarts at its address. A report without the values to resume
    # from would make it lose every lag.
    subject = make_head("h2")
    report = make_report(5, {("a1", "union"): (90, 80)}, head="h1")
    answer = subject.receive(report, 0.0)
    assert (answer.head, answer.rows, answer.settled_for) == ("h2", [], 0.0)
    assert subject.virtual("union") is None


def test_new_head_resumes_from_reported_values_and_counts_nothing_twice():
    # The first head dies. Its collectors received different values, and some
    # growth was acknowledged to only one of them. The new head must not
    # exceed the true value (140 + 20) and may lack at most the growth of one
    # report.
    subject = make_head("h2")
    values = {"union": 100.0, "studio": 10.0}
    report = make_report(
        1,
        {("a1", "union"): (60, 50)},
        virtual_by_organisation=values,
        fleet_time=40.0,
    )
    subject.receive(report, 0.0)
    assert subject.virtual("union") == 100.0
    other = make_report(
        1,
        {("a2", "union"): (90, 60)},
        incarnation="c2",
        virtual_by_organisation={"union": 140.0, "studio": 9.0},
    )
    subject.receive(other, 0.1)
    assert (subject.virtual("union"), subject.virtual("studio")) == (140.0, 10)
    more = make_report(
        2,
        {("a1", "union"): (80, 50)},
        virtual_by_organisation={"union": 100.0},
    )
    answer = subject.receive(more, 0.2)
    assert (subject.virtual("union"), answer.settled_for) == (160.0, 0.0)


def test_head_settles_again_after_a_partition():
    # Collectors used the other head for a minute, whose value includes the
    # growth since. If it were also derived from the old marks, it would be
    # counted twice.
    subject = make_head()
    now = settle(subject)
    subject.receive(make_report(50, {("a1", "union"): (10, 0)}), now)
    report = make_report(
        90,
        {("a1", "union"): (500, 500)},
        virtual_by_organisation={"union": 600.0},
        head="h1",
    )
    answer = subject.receive(report, now + 60.0)
    assert (subject.virtual("union"), answer.settled_for) == (600.0, 0.0)
    again = report._replace(sequence=91, virtual_by_organisation={})
    subject.receive(again, now + 61.0)
    assert subject.virtual("union") == 600.0


def test_settled_head_keeps_its_own_count():
    # While collectors use different heads, the other head lacks some growth
    # counted here and may include some that has not been reported here yet.
    subject = make_head()
    now = settle(subject)
    subject.receive(make_report(50, {("a1", "union"): (100, 0)}), now)
    value = make_report(51, virtual_by_organisation={"union": 120.0})
    subject.receive(value, now)
    assert subject.virtual("union") == 120.0
    subject.receive(make_report(52, {("a1", "union"): (130, 0)}), now)
    assert subject.virtual("union") == 130.0
