"""Orders to engines: one holder, fencing numbers, rationed weights.

An order changes what an engine serves: its model, version, adapters or role.
Some engines refuse an order with an old fencing number; others ignore it,
and for those the agent in front is the fence.

* ``lease``: who may order an engine, and with which fencing number.
* ``order_gate``: the fence itself, at the moment that an order is sent.
* ``plan``: which order brings an engine to what the configuration says.
* ``weight_permits``: cold loads, kept under the weight store's rate.
* ``actions``: what these parts ask their driver to do.
"""
