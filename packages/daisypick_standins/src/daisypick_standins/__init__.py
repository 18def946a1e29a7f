"""Small stand-ins of what the system meets; no production code imports them.

* ``web``: the little HTTP server that the stand-ins share.
* ``platform``: the platform's objects, VM list and weight store.

Run one as its own process: ``python -m daisypick_standins platform --port 0``.
"""
