"""Numbered result codes and the value that stands for a failure.

* ``codes``: the registry of codes, ``codes.by_number``.
* ``failure``: ``Failure``, returned in place of a value, with its reason.
"""
