import hypothesis
from hypothesis import strategies as st

from daisypick_core.fairness import tally

MARKS = st.lists(
    st.tuples(
        st.sampled_from(["a1", "a2"]),
        st.sampled_from(["union", "studio"]),
        st.integers(0, 9),
        st.integers(0, 9),
    ),
    max_size=6,
)


def make_tally(rows):
    subject = tally.Tally()
    for incarnation, organisation, served, included in rows:
        mark = tally.Mark(float(served), float(min(served, included)))
        subject.merge(incarnation, organisation, mark, 0.0)
    return subject


def merged(*tallies):
    result = tally.Tally()
    for one in tallies:
        result.merge_all(one)
    return dict(result.items())


def as_tally(marks):
    result = tally.Tally()
    for key, mark in marks.items():
        result.merge(*key, mark, 0.0)
    return result


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(MARKS, MARKS, MARKS)
def test_merge_laws(first, second, third):
    a, b, c = make_tally(first), make_tally(second), make_tally(third)
    assert merged(a, b) == merged(b, a)
    assert merged(a, a) == merged(a)
    ab_c = merged(as_tally(merged(a, b)), c)
    assert ab_c == merged(a, as_tally(merged(b, c)))


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    st.lists(st.integers(1, 50), min_size=1, max_size=6), st.randoms()
)
def test_growth_is_counted_once(steps, rng):
    # Reports arrive duplicated, out of order or not at all; only the last one
    # is certain to arrive. The sum must equal the total in any order.
    totals = [float(sum(steps[: n + 1])) for n in range(len(steps))]
    reports = [total for total in totals * 2 if rng.random() < 0.7]
    rng.shuffle(reports)
    subject = tally.Tally()
    added = sum(
        subject.merge("a1", "union", tally.Mark(total, 0.0), 0.0)
        for total in [*reports, totals[-1]]
    )
    assert added == totals[-1]


def test_dropped_mark_counts_from_what_was_included():
    # An agent sends no reports for so long that its mark is dropped, and then
    # resumes. Counting its past service again would starve its organisation.
    subject = tally.Tally()
    key = tally.Key("a1", "union")
    subject.merge("a1", "union", tally.Mark(100.0, 0.0), 0.0)
    subject.acknowledge(key, 100.0)
    assert subject.get(key) == tally.Mark(100.0, 100.0)
    assert subject.drop_older(1.0) == [key]
    assert (len(subject), subject.get(key)) == (0, None)
    assert subject.merge("a1", "union", tally.Mark(107.0, 100.0), 9.0) == 7.0
