"""Request path benchmark: ``python -m daisypick_lab.bench`` (``make bench``).

Router, agent, engine and platform run as separate processes; the benchmark
calls them over loopback and reads their processor time and memory. Each cost
is a slope over at least four points, and direct calls to the engine are
measured in the same run as a baseline.

* ``processes``: starts the processes and reads their resource usage.
* ``work``: makes the calls.
* ``measurements``: runs the measurements.
* ``text``: renders the result as text for ``docs/MEASUREMENTS.md``.
"""
