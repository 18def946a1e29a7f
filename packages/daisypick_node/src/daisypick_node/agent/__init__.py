"""The agent: the gate of one backend server, as a process.

* ``process``: the process, composed of the parts below.
* ``driver``: carries out what the core gate decides.
* ``answers``: answers being made and kept, by attempt.
* ``runner``: one attempt's call to the backend server.
* ``usage``: tokens counted in an answer as it streams.
* ``attempt_routes``: what routers ask of the agent.
* ``claim_service``: claims idempotency keys, its own and as a batcher.
* ``same_answer``: gives a retry of a key the answer of the first call.
"""
