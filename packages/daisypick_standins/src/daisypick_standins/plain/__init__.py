"""Stand-in for a plain service, such as bookings or payments.

* ``faults``: injected faults.
* ``server``: the HTTP server; it counts runs by marker.
"""
