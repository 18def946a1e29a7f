"""Moves a service's traffic to another version of its backend servers.

* ``order``: what an operator asks for.
* ``state``: how far a roll-out is, as routers tell each other.
* ``exposure``: which requests of a router may go to an unproved version.
* ``evidence``: how the servers of both versions answer.
* ``likelihood``: whether a version or its servers explain a sign better.
* ``verdict``: whether the evidence shows a fault of the version.
* ``decider``: when the traffic moves, and when it is taken back.

Nothing here reads a clock or does I/O.
"""
