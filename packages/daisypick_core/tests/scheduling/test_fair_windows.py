"""Organisations that were starved relative to the best served one."""

from daisypick_core.scheduling import fair_windows


def _seconds(count, *, asked, got, missed=True):
    second = fair_windows.Second(
        asked=asked, got=got, missed=missed, largest=10.0
    )
    return dict.fromkeys(range(count), second)


def test_margin_compares_with_half_of_the_best_served():
    (served,) = fair_windows.find_least_served(
        {
            "farm": _seconds(6, asked=1000.0, got=95.0),
            "best": _seconds(6, asked=400.0, got=400.0, missed=False),
        }
    )
    assert (served.organisation, served.best) == ("farm", "best")
    assert (served.asked, served.got, served.best_got) == (6000, 570, 2400)
    assert served.margin == 0.5


def test_entitlement_of_a_small_demand_is_half_of_the_demand():
    (served,) = fair_windows.find_least_served(
        {
            "farm": _seconds(6, asked=100.0, got=45.0),
            "best": _seconds(6, asked=400.0, got=400.0, missed=False),
        }
    )
    assert served.margin == 1.0


def test_one_second_without_a_miss_ends_starvation():
    farm = _seconds(6, asked=1000.0, got=0.0)
    farm[3] = farm[3]._replace(missed=False)
    best = _seconds(6, asked=400.0, got=400.0, missed=False)
    assert fair_windows.find_least_served({"farm": farm, "best": best}) == []


def test_worst_span_of_each_organisation_is_listed_worst_first():
    farm = _seconds(12, asked=100.0, got=40.0)
    farm[11] = farm[11]._replace(got=0.0)
    found = fair_windows.find_least_served(
        {
            "farm": farm,
            "mill": _seconds(12, asked=100.0, got=10.0),
            "best": _seconds(12, asked=400.0, got=400.0, missed=False),
        }
    )
    assert [(one.organisation, one.begins) for one in found] == [
        ("mill", 0),
        ("farm", 6),
    ]
    assert fair_windows.find_least_served({}) == []
