"""The operators' configuration as immutable values.

Loading a folder of files:

* ``model``: organisations, services, backend servers and data centres.
* ``sections``: the sections and keys of a file, derived from the model.
* ``merge``: merges files in name order and records the file of each value.
* ``check``: the whole validation; the rules are in ``values`` and
  ``cross_checks``.
* ``faults``: the faults that validation finds.

Representation in transit and in the store:

* ``chunks``: a configuration as content-addressed chunks.
* ``root``: the object that identifies the configuration in force.
* ``patch``: applies the difference between two trees of chunks.
* ``difference``: the difference between two configurations, key by key.
* ``wire``: roots and chunks as JSON.

Distribution to all processes:

* ``distribution``: the state of one process, driven by contacts and ticks.
* ``startup``: the sources queried at startup.
* ``rounds``: the schedule of notices to peers and queries to the store.
* ``distribution_actions``: the actions that the driver carries out.
* ``local_chunks``: the chunks that the process holds.
* ``fetch``: the fetch in progress.
* ``source_generations``: the generation that each source reports.
"""
