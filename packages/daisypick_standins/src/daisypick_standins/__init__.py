"""Stand-ins for external systems, for tests; no production code imports them.

* ``web``: the small HTTP server that the stand-ins share.
* ``platform``: the platform's object store and VM list.
* ``engine``: a model engine with continuous batching.
* ``plain``: a plain service that counts the calls it runs.

Run one as its own process: ``python -m daisypick_standins platform --port 0``.
"""
