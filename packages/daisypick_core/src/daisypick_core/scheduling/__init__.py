"""Which request starts next, and at which model engine.

One scheduler decides for all backend servers of a service, so that what one
router places is known when the next one asks. The same object serves a router
that has to decide alone for a while, with a part of the capacity.

* ``job``: a request that wants to start.
* ``server_state``: a server that may get work.
* ``prefix_cache``: which parts of prompts an engine is believed to keep.
* ``engine_estimate``: what an engine is believed to be doing.
* ``engine_fleet``: the engines that may get work, and their beliefs.
* ``engine_candidates``: the engines that one round of decisions looks at.
* ``recent_holders``: which engine was last sent a part of a prompt.
* ``fair_share``: which organisations are within their share.
* ``recent_keys``: which starts were counted already.
* ``organisation_tally``: what organisations asked and got, for log lines.
* ``fair_windows``: who was served least, from such lines.
* ``placement``: which open engine a request goes to.
* ``waiting``: requests that wait, by organisation.
* ``hosts``: which router hosts the scheduler of a service.
* ``cold_limits``: what routers sent to servers that may turn cold.
* ``admission``: which requests may wait, and for how long.
* ``fleet_report``: what is believed of engines, for logs.
* ``actions``: what a scheduler asks its driver to do.
* ``scheduler``: the decisions.
"""
