"""Who is served next.

* ``share_order``: the order in which a gate gives free slots.
"""
