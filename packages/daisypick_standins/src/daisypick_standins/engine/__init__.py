"""Stand-in of a model engine with continuous batching.

* ``settings``: what one engine is like.
* ``text``: the answer as a function of the request, and its check.
* ``prefix_cache``: cached prompt prefixes in limited memory.
* ``warmth``: what an engine bears in its cold start.
* ``batch``: continuous batching as a cost model, free of I/O and clocks.
* ``streams``: answers as bytes that can be read again from an offset.
* ``progress``: a generation's tokens as bytes of its stream.
* ``completions``: requests and answers in the shape of the OpenAI API.
* ``faults``: what goes wrong on command.
* ``server``: all of it over HTTP.
"""
