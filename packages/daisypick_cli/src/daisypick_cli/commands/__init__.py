"""The commands, one module per group; each module has ``COMMANDS``.

* ``base``: shared options, output and exit codes.
* ``folder_commands``: ``check``, ``diff``, ``apply``, ``show``.
* ``data_centre``: ``data-centre out`` and ``data-centre in``.
* ``inspection``: ``status``, ``dump``, ``explain``.
* ``key``: ``hash-key``.
* ``logs``: ``fairness``.
"""
