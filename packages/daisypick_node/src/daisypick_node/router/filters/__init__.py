"""The filters that a request passes, one a module.

* ``identify``: which organisation is calling.
* ``admit``: whether it may have one more request open.
* ``read``: the body, within bounds.
* ``classify``: which service, and whether a second run does harm.
* ``estimate``: expected cost and the prompt's prefix.
"""
