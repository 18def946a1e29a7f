"""Which request starts next, and at which model engine.

One scheduler decides for all backend servers of a service, so that it accounts
for what each router has started before it decides for the next. The same
object serves a router that has to decide locally for a while, with a share of
the capacity.

* ``job``: a request that is ready to start.
* ``server_state``: a server that may get work.
* ``prefix_cache``: estimate of the prompt parts in an engine's prefix cache.
* ``engine_estimate``: estimated load, memory and speed of an engine.
* ``engine_fleet``: the engines that may get work, and their estimates.
* ``engine_candidates``: the engines that one scheduling round considers.
* ``recent_holders``: which engine was last sent a part of a prompt.
* ``fair_share``: which organisations are within their share.
* ``recent_keys``: which starts were counted already.
* ``organisation_tally``: demand and usage of organisations, for log lines.
* ``fair_windows``: the worst served organisations, computed from such lines.
* ``placement``: which available engine a request goes to.
* ``wait_queue``: waiting requests, by organisation.
* ``hosts``: which router hosts the scheduler of a service.
* ``pauses``: organisations whose requests a router refuses for a moment.
* ``cold_limits``: rate limits of routers at servers that may be cold.
* ``prefill_speed``: prediction of the time to first token.
* ``decode_speed``: prediction of the time from event to event.
* ``learned_line``: a line that follows observations, used by both.
* ``decode_load``: progress of an engine's answers, and what prefill they allow.
* ``prefill_credit``: how much prefill an engine may start beside its decoding.
* ``completion``: which engines can complete an answer in time.
* ``admission``: which requests may wait, and for how long.
* ``recent_refusals``: recognises requests that return after a refusal.
* ``refusal_reasons``: the numbered reasons of refusals.
* ``retry_delay``: after how long a refused caller should return.
* ``fleet_report``: estimated state of engines, for logs.
* ``actions``: what a scheduler returns to its driver.
* ``scheduler``: the decisions.
"""
