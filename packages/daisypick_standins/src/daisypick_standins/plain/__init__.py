"""Stand-in of a plain service, such as bookings or payments.

* ``faults``: what goes wrong on command.
* ``server``: the service over HTTP; it counts what it runs by marker.
"""
