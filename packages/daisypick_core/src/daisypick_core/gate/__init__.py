"""The agent's decisions about its one backend server.

Nothing reaches the backend server except through its gate, so every promise
about one server is decided here, in one place that sees everything.

* ``gate``: the gate itself, which composes the parts below.
* ``actions``: what the gate asks its driver to do.
* ``attempts``: which attempts are known, running, settled or barred.
* ``concurrency``: how many attempts may run at once, cold or warm.
* ``first_token``: the baseline of the time to first token.
* ``running``: the attempts that hold a slot.
* ``waiting``: the attempts that wait, and their bounds.
* ``idle_peers``: sending waiting work to agents that are idle.
* ``admission``: whether anything new may start (draining).
* ``offer_check``: why an attempt that arrives is refused.
* ``drain_state``: why a gate drains, from the configuration and the VM.
"""
