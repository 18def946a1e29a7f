"""The agent process: admission control for one backend server.

* ``process``: the process, which composes the modules below.
* ``driver``: performs the actions of the core gate.
* ``responses``: responses in progress and retained, by attempt.
* ``runner``: sends one attempt to the backend server.
* ``usage``: counts the tokens of a response as it streams.
* ``attempt_routes``: HTTP routes for attempts, called by routers.
* ``claim_service``: claims idempotency keys and commits claims as a batcher.
* ``response_replay``: replays the first response to a retry of a key.
"""
