"""The filters of a request, one module per filter.

* ``identify``: finds the organisation by its key.
* ``admit``: limits the open requests of an organisation.
* ``read``: reads the body within limits of size and time.
* ``classify``: finds the service, and whether the request is repeatable.
* ``estimate``: estimates the cost and hashes the prompt's prefix.
"""
