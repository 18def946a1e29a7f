"""Stand-in for the platform.

* ``store``: an in-memory store of versioned objects.
* ``vms``: the list of VMs, which lags.
* ``faults``: injected faults.
* ``server``: the HTTP API, see ``docs/PLATFORM_API.md``.
"""
