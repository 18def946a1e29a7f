"""What the path costs: ``python -m daisypick_lab.bench`` (``make bench``).

Router, agent, engine and platform run as processes of their own; the bench
calls them over loopback and reads their processor time and memory. Each
figure is the slope over at least four points, and the direct way to the
engine is measured in the same run.

* ``processes``: starts them and reads what they use.
* ``work``: the calls that the bench makes.
* ``measurements``: the measurements.
* ``text``: the result as text for ``docs/MEASUREMENTS.md``.
"""
