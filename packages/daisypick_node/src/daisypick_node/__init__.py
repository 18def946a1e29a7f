"""The daemons that carry out the core's decisions over real sockets.

* ``main``: the binary ``daisypickd``.
* ``settings``: flags and environment variables, checked.
* ``logs``, ``metrics``: structured logs and Prometheus metrics.
* ``http``: server, client and calls between processes, as thin wrappers of
  the libraries.
* ``platform``: clients of the platform.
* ``router``, ``agent``: the two kinds of process.
"""
