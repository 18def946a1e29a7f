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


def test_doubled_late_and_crossed_reports_add_up_once():
    # The same marks arrive twice, then older ones after newer ones. Counted
    # again, their organisation would seem ahead and starve.
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


def test_two_collectors_of_one_agent_add_up_once():
    # Two agents both collect, and the same marks arrive by both.
    subject = make_head()
    marks = {("a1", "union"): (10, 0), ("a2", "union"): (5, 0)}
    subject.receive(make_report(1, marks), 0.0)
    subject.receive(make_report(1, marks, incarnation="c2"), 0.0)
    assert subject.virtual("union") == 15.0


def test_dead_incarnation_leaves_no_jump():
    # An agent dies with a large total and is forgotten; its successor counts
    # from 0. Neither may move the virtual service that is known.
    subject = make_head()
    now = settle(subject)
    subject.receive(make_report(50, {("a1", "union"): (90, 0)}), now)
    before = subject.virtual("union")
    for step in range(1, 1500):
        report = make_report(50 + step, {("b1", "union"): (step, 0)})
        subject.receive(report, now + step)
    assert subject.virtual("union") == before + 1499
    assert len(subject) == 1


def test_report_for_the_predecessor_is_not_taken_in():
    # The head restarts at its address. A report that lacks the values to go
    # on from would make every lag forgotten.
    subject = make_head("h2")
    report = make_report(5, {("a1", "union"): (90, 80)}, head="h1")
    answer = subject.receive(report, 0.0)
    assert (answer.head, answer.rows, answer.settled_for) == ("h2", [], 0.0)
    assert subject.virtual("union") is None


def test_new_head_goes_on_from_what_was_heard_and_counts_nothing_twice():
    # The first head dies. Its collectors heard different values; some growth
    # was acknowledged to one of them only. The new head must not exceed the
    # true value (140 + 20), and may lack no more than a report's growth.
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


def test_head_that_was_cut_off_settles_anew():
    # Collectors used the other head for a minute. What grew meanwhile is in
    # its value; counted by the old marks as well, it would count twice.
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
    # While collectors differ, the other head lacks what this one has counted
    # and may know what this one has not heard yet.
    subject = make_head()
    now = settle(subject)
    subject.receive(make_report(50, {("a1", "union"): (100, 0)}), now)
    told = make_report(51, virtual_by_organisation={"union": 120.0})
    subject.receive(told, now)
    assert subject.virtual("union") == 120.0
    subject.receive(make_report(52, {("a1", "union"): (130, 0)}), now)
    assert subject.virtual("union") == 130.0
