"""The router process on the platform.

``serving`` is the way of a request, from its head to its last byte; every
step there is a module of its own.

* ``process``: wires everything, starts and stops.
* ``intake``: which request that was read begins next.
* ``serving``: the way of a request.
* ``identify``: whose request it is and where it leads.
* ``exchange``: one request at one backend server.
* ``relay``: an answer back to the caller.
* ``plain_servers``: which server of a plain service.
* ``engine_servers``: which server of a model service, and when.
* ``discovery``: copies of what the platform's store holds.
* ``membership``: the routers of the fleet.
* ``log``: structured log lines, bounded.
* ``metrics``: counters and histograms.
"""
