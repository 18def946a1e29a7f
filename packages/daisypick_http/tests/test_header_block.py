"""Headers that are kept in one block."""

import pytest

from daisypick_http import header_block

_HEADERS = [(b"Host", b"h"), (b"X", b""), (b"X-Y", b"a: b"), (b"x", b"2")]


def _make(headers):
    block = header_block.HeaderBlock()
    for name, value in headers:
        block.append(name, value)
    return block


def test_names_and_values_are_kept_in_their_order():
    assert list(_make(_HEADERS)) == _HEADERS
    assert list(_make([])) == []


def test_first_value_is_found_by_its_whole_name():
    block = _make(_HEADERS)
    assert block.find(b"x-y") == b"a: b"
    assert block.find(b"x") == b""
    assert block.find(b"y") is None
    assert [block.count(name) for name in (b"host", b"x", b"y")] == [1, 2, 0]


@pytest.mark.parametrize("value", [b"a\r\nHost: other", b"a\rb", b"a\nb"])
def test_value_with_the_end_of_a_line_is_rejected(value):
    """Guards against a header that becomes two when it is forwarded."""
    with pytest.raises(ValueError, match="end of a line"):
        _make([(b"X", value)])
