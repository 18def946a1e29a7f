"""Clients of the platform: versioned objects, list of VMs, model weights.

* ``interface``: the protocol of a platform client, and the registry of
  clients; another platform is supported by registering another client.
* ``http``: the client of the HTTP API in ``docs/PLATFORM_API.md``.
* ``connections``: calls that are sent once and never resent.
* ``budget``: the process-wide rate limit of calls.
* ``counters``: counts of calls by outcome.
"""
