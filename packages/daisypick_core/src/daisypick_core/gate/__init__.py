"""The agent's decisions about its one backend server.

Nothing reaches the backend server except through its gate, so every promise
about one server is decided here, in one place that sees everything.

* ``gate``: the gate itself, which composes the parts below.
* ``actions``: what the gate asks its driver to do.
* ``attempts``: which attempts are known, running, settled or barred.
* ``concurrency``: how many attempts may run at once, cold or warm.
* ``admission``: whether anything new may start (draining).
"""
