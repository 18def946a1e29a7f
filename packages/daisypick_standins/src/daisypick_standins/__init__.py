"""Small stand-ins of what the system meets; no production code imports them.

* ``web``: the little HTTP server that the stand-ins share.
* ``platform``: the platform's objects, VM list and weight store.
* ``engine``: a model engine with continuous batching.
* ``plain``: a plain service that counts what it runs.

Run one as its own process: ``python -m daisypick_standins platform --port 0``.
"""
