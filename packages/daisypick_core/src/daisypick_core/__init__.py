"""Decision logic of the fleet, without I/O, clocks or global state.

Every object here is driven by events that carry ``now`` (seconds on any
monotonic clock) and returns a list of typed actions for its driver to
execute. Randomness is injected as a ``random.Random``. A thousand instances
can run in one process under a simulated clock.

Packages:

* ``results``: numbered result codes and the failure value.
* ``messages``: messages between the processes.
* ``configuration``: the operators' configuration as immutable values.
* ``fairness``: which organisation is served next, locally and fleet-wide.
* ``gate``: the agent's admission decisions for its one backend server.
* ``queues``: queued work by organisation, with deadlines.
* ``claims``: at-most-once execution of requests that must not be repeated.
* ``routing``: the router's backlog, server selection and retries.
* ``quarantine``: requests that crash the servers that run them.
* ``membership``: which processes are considered live.
"""
