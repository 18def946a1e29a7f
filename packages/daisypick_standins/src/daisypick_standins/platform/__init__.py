"""Stand-in of the platform.

* ``store``: objects with versions, as a plain object.
* ``vms``: the lagging list of VMs.
* ``faults``: what goes wrong on command.
* ``server``: all of it over HTTP, see ``docs/PLATFORM_API.md``.
"""
