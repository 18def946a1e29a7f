"""Stand-in for a model engine with continuous batching.

* ``settings``: parameters of an engine.
* ``text``: the answer text as a function of the request, and its check.
* ``prefix_cache``: cached prompt prefixes in limited memory.
* ``cold_start``: the capacity of an engine during its cold start.
* ``batch``: continuous batching as a cost model, without I/O or clocks.
* ``streams``: response streams that can be resumed from an offset.
* ``progress``: writes a generation's tokens to its stream.
* ``completions``: requests and responses of the OpenAI chat API.
* ``faults``: injected faults.
* ``server``: the HTTP server of the engine.
"""
