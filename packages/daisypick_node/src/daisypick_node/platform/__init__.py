"""The platform: objects with versions, the list of VMs, model weights.

* ``interface``: what a client of the platform offers, and the registry of
  clients, so that another platform is another registered client.
* ``http``: the client of the HTTP API in ``docs/PLATFORM_API.md``.
* ``connections``: connections on which each call is sent once.
* ``budget``: the process-wide budget of calls.
* ``counters``: how many calls were made, and what came of them.
"""
