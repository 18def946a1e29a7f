"""The router process on the platform.

``serving`` handles a request from its head to its last byte; each step of it
is a module of its own.

* ``process``: creates and connects the components, starts and stops them.
* ``intake``: which request that was read begins next.
* ``serving``: the steps of handling a request.
* ``identify``: the organisation and the route of a request.
* ``exchange``: one request at one backend server.
* ``relay``: sends a server's response to the caller.
* ``plain_servers``: selects a server of a plain service.
* ``engine_schedulers``: selects a server and a start time for a model service.
* ``stream_versions``: the software version at which a stream goes on.
* ``stream_registry``: where streams began, as routers have noted it.
* ``discovery``: local copies of objects in the platform's store.
* ``membership``: the routers of the fleet.
* ``log``: bounded, structured log lines.
* ``metrics``: counters, gauges and histograms.
"""
