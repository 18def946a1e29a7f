"""What the processes of the fleet say to each other.

* ``load``: an agent's state, carried on every answer.
* ``attempt``: a request's one try at one agent, and its wire envelope.
* ``frame``: the parts of an answer that is streamed from agent to router.
"""
