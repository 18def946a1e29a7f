"""The decisions of the fleet, free of I/O, clocks and global state.

Every object here is driven by events that carry ``now`` (seconds on any
monotonic clock) and answers with a list of typed actions for its driver to
carry out. Randomness comes in as a ``random.Random``. A thousand instances
can run in one process under somebody else's clock.

Packages:

* ``results``: numbered result codes and the failure value.
* ``messages``: what the processes say to each other.
* ``configuration``: the operators' configuration as immutable values.
* ``fairness``: who is served next, locally and across the fleet.
* ``gate``: the agent's decisions about its one backend server.
* ``queues``: waiting work by organisation, with deadlines.
* ``claims``: at most once for requests that may not be repeated.
* ``routing``: the router's backlog, pick and retries.
* ``membership``: which processes are believed to be alive.
"""
