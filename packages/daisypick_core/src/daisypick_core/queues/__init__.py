"""Queue data structures that routers and gates share.

* ``keyed_queues``: a first-in first-out queue per key, with deadlines.
* ``indexed_set``: a set with random choice in constant time.
* ``drain_rate``: estimates how fast a queue drains, for ``retry_after``.
"""
