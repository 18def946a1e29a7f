"""Sums by organisation."""

from daisypick_core.scheduling import organisation_tally


def test_rows_are_sorted_by_size_and_returned_once():
    tally = organisation_tally.OrganisationTally()
    tally.add("farm", asked=10.0)
    tally.add("flood", asked=30.0, refused=1)
    tally.add("flood", asked=30.0, refused=1)
    assert tally.take(9, by="asked") == [
        {"organisation": "flood", "asked": 60.0, "refused": 2},
        {"organisation": "farm", "asked": 10.0},
    ]
    assert tally.take(9, by="asked") == []


def test_maximum_of_the_values_is_kept():
    tally = organisation_tally.OrganisationTally()
    for size in (3.0, 9.0, 5.0):
        tally.note_most("farm", "largest", size)
    assert tally.take(1, by="asked") == [
        {"organisation": "farm", "largest": 9.0}
    ]
