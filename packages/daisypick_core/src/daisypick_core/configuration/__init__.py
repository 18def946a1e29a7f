"""The operators' configuration as immutable values.

* ``model``: organisations, services, backend servers and data centres.
"""
