"""Digests of requests."""

import pytest

from daisypick_core.quarantine import digest

_REQUEST = {
    "method": b"POST",
    "host": "a.example",
    "target": b"/ask/1",
    "organisation": "farm",
    "body": b"{}",
}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("method", b"PUT"),
        ("host", "b.example"),
        ("target", b"/ask/2"),
        ("organisation", None),
        ("body", b"{ }"),
    ],
)
def test_each_field_counts(field, value):
    """Guards against blaming one request for another."""
    changed = {**_REQUEST, field: value}
    assert digest.find_digest(**changed) != digest.find_digest(**_REQUEST)


def test_fields_do_not_run_together():
    """Guards against equal digests of fields that are split differently."""
    first = {**_REQUEST, "target": b"/ask/1", "body": b"2"}
    second = {**_REQUEST, "target": b"/ask/", "body": b"12"}
    assert digest.find_digest(**first) != digest.find_digest(**second)
