"""The router: callers' connections and the backlog, as a process.

A request passes through filters (identify, classify, admit, read, estimate),
waits in the core dispatcher, is sent to an agent, and its answer is relayed.

* ``process``: the process, composed of the parts below.
* ``pipeline``: the filters in their order; ``filters``: one a module.
* ``driver``: carries out what the core dispatcher decides.
* ``sender``: one attempt's exchange with an agent, resumed if it breaks.
* ``relay``: an answer on its way to the caller.
* ``caller_routes``: what callers ask of the router.
"""
