"""Waiting work, as routers and gates keep it.

* ``keyed_queues``: a first-in first-out queue a key, with deadlines.
* ``indexed_set``: a set with random choice in constant time.
* ``drain_rate``: how fast a queue empties, for true ``retry_after`` values.
"""
