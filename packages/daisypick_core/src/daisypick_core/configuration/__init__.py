"""The operators' configuration as immutable values.

From a folder to a value:

* ``model``: organisations, services, backend servers and data centres.
* ``sections``: the sections and keys of a file, derived from the model.
* ``merge``: files merged in name order, each value with its file.
* ``check``: the whole check; ``values`` and ``relations`` hold the rules.
* ``faults``: what a check finds.

From process to process:

* ``chunks``: a configuration as content-addressed chunks.
* ``root``: the one object that says which configuration is in force.
* ``patch``: from one tree of chunks to the next, reading what differs.
* ``difference``: what differs between two configurations, key by key.
* ``wire``: roots and chunks as JSON.

How it reaches every process:

* ``spread``: the holder of a process, driven by contacts and ticks.
* ``starting``: whom it has asked at the start.
* ``rounds``: when it tells peers, or asks the store.
* ``spread_actions``: what it asks its driver to do.
* ``holdings``, ``fetch``, ``claimed``: its chunks, its fetch on the way, and
  whom it believes to be ahead.
"""
