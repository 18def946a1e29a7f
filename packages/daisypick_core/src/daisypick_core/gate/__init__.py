"""Admission control of an agent for its one backend server.

Every request to the backend server passes its gate. All guarantees about one
server are therefore enforced here, where its complete state is known.

* ``gate``: the gate itself, which composes the parts below.
* ``actions``: the actions that the gate requests from its driver.
* ``attempts``: which attempts are known, running, settled or barred.
* ``concurrency``: the concurrency limit, including the cold start ramp.
* ``first_token``: the baseline of the time to first token.
* ``running``: the attempts that hold a slot.
* ``waiting``: the bounded queues of waiting attempts.
* ``idle_peers``: redirecting waiting attempts to idle agents.
* ``admission``: whether new attempts may start (draining).
* ``offer_check``: the checks on an attempt that arrives.
* ``drain_state``: the reasons for draining, derived from the configuration
  and the VM.
"""
