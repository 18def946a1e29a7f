"""The daemons that carry out the core's decisions over real sockets.

* ``main``: the binary ``daisypickd``.
* ``settings``: flags and environment variables, checked.
* ``logs``, ``metrics``: what a process tells of itself.
* ``http``: server, client and peers' calls, thin over the libraries.
* ``platform``: clients of the platform.
* ``router``, ``agent``: the two kinds of process.
"""
