"""Messages between the processes of the fleet.

* ``load``: an agent's state, sent with every response.
* ``attempt``: one attempt of a request at one agent, and its wire envelope.
* ``frame``: the frames of a response streamed from an agent to a router.
"""
