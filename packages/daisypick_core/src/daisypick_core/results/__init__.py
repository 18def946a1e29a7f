"""Numbered result codes and the value that represents a failure.

* ``codes``: the registry of codes, ``codes.by_number``.
* ``failure``: ``Failure``, returned instead of a value, with its reason.
"""
