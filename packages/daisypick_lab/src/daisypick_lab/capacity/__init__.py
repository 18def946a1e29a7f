"""What each role costs at the size to design for, from measured slopes.

Run ``python -m daisypick_lab.capacity``. It measures how costs grow on this
machine, fits lines through at least four points, and works out each role's
state, messages, processor time and memory at the size of ``size``.

* ``size``: the size to design for, and the budgets.
* ``slopes``: the registry of what is measured.
* ``configuration_slopes``, ``serving_slopes``, ``tally_slopes``,
  ``claim_slopes``, ``exchange_slopes``: the measurements.
* ``roles``: the computation for each role.
* ``page``: the tables of ``docs/CAPACITY.md``.
"""
