"""The router process: callers' connections and the backlog.

A request passes through filters (identify, admit, read, classify, estimate),
waits in the core dispatcher and is sent to an agent, whose response is relayed
to the caller.

* ``process``: the process, composed of the modules below.
* ``pipeline``: the filters in order; ``filters``: one module per filter.
* ``driver``: carries out the actions of the core dispatcher.
* ``sender``: sends one attempt to an agent and resumes a broken response.
* ``relay``: buffers a response for the caller.
* ``caller_routes``: the HTTP API for callers.
"""
