"""Comments that report a measurement are found; others are not."""

import check_comments
import pytest


@pytest.mark.parametrize(
    "source",
    [
        "# Measured: 0.53 at 1, 0.57 at 4.\nX = 4\n",
        "X = 4  # Mean worth is best here.\n",
        'def f():\n    """Return it, measured on two sites."""\n',
        '"""A module.\n\nIn a trial it was twice as fast.\n"""\n',
    ],
)
def test_measurement_in_a_comment_is_found(tmp_path, source):
    path = tmp_path / "code.py"
    path.write_text(source)
    assert len(list(check_comments.find_measurements(path))) == 1


@pytest.mark.parametrize(
    "source",
    [
        "# Seconds; a lost packet is sent again after one.\nX = 1.0\n",
        'NAME = "mean worth"\n',
        'def f():\n    """Return what was measured."""\n',
    ],
)
def test_other_comments_pass(tmp_path, source):
    path = tmp_path / "code.py"
    path.write_text(source)
    assert list(check_comments.find_measurements(path)) == []
