"""The commands, one module a group; each has ``COMMANDS``.

* ``base``: options, output and exit codes that they share.
* ``folder_commands``: ``check``, ``diff``, ``apply``, ``show``.
* ``data_centre``: ``data-centre out`` and ``data-centre in``.
* ``inspection``: ``status``, ``dump``, ``explain``.
* ``key``: ``hash-key``.
* ``logs``: ``fairness``.
"""
