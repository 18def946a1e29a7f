import pytest

from daisypick_lab import fit
from daisypick_lab.capacity import claim_slopes as _claims  # noqa: F401
from daisypick_lab.capacity import configuration_slopes
from daisypick_lab.capacity import page
from daisypick_lab.capacity import roles
from daisypick_lab.capacity import serving_slopes
from daisypick_lab.capacity import size
from daisypick_lab.capacity import slopes
from daisypick_lab.capacity import tally_slopes


class _Flat(dict):
    """Every slope is the same line."""

    def __missing__(self, name):
        line = fit.Line(slope=0.0, intercept=1e-5, residual=0.0, points=())
        return slopes.Measured(name, "", "", {}, line)


def make_inputs():
    return roles.Inputs(size=size.SIZE, budget=size.BUDGET, by_name=_Flat())


def test_each_role_has_rows_and_budgets_are_compared():
    rows = {name: make(make_inputs()) for name, make in roles.by_name.items()}
    assert set(rows) >= {"router", "agent", "claim batcher"}
    table = page.make_roles_table(rows)
    assert "| router | requests | 75.36 1/s |" in table
    over = roles.Row("x", 4.0, "s", 2.0, "")
    assert "missed 2.0 times" in page.make_roles_table({"a": [over]})


def test_slopes_measure_the_core_at_a_small_point():
    assert configuration_slopes.configuration_change_bytes(50) > 100
    assert serving_slopes.gate_memory(20) > 20 * 100
    spent = tally_slopes.measure_service(2, 3)
    assert spent.bytes_most >= spent.bytes_median > 0
    assert slopes.by_name["claims_a_write"].measure_at(4) >= 1


def test_page_without_marks_is_refused(tmp_path):
    path = tmp_path / "page.md"
    path.write_text("nothing")
    with pytest.raises(ValueError, match="lacks the marks"):
        page.write(path, "x")
