"""Embedded fleet, load, demo and measurements.

* ``shapes``: the demo's fleet and today's deployments of the brief.
* ``embedded``: a whole fleet in one process, its folder in ``folder``.
* ``load``: organisations that call over real sockets; one call and its check
  is in ``callers``, what was measured in ``tally``.
* ``sampler``: service, backlog and busy slots over time.
* ``run``: a fleet under load, a data centre out and back; its result is in
  ``results``, as text in ``report``, against earlier ones in ``comparison``.
* ``trouble``: failures on command while the fleet serves.
* ``fit``: straight lines through measured points; ``bench`` uses them.
* ``commands``: ``daisypick demo`` and ``daisypick measure``.

The modules named ``..._model`` drive the decisions under a virtual clock.
"""
