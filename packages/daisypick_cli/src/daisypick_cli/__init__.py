"""The operators' command line, ``daisypick``.

* ``main``: the application; commands of other packages are discovered.
* ``commands``: one module per group of commands.
* ``exit_codes``: exit codes and their meaning.
* ``folder``: the configuration folder and the record of its last apply.
* ``publication``: writes a configuration to the store.
* ``applying``: applies a configuration: folder, store and processes.
* ``processes``: calls to running processes.
"""
