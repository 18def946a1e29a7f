"""The operators' command line, ``daisypick``.

* ``main``: the application; commands of other packages are discovered.
* ``commands``: one module a group of commands.
* ``exit_codes``: what the shell sees.
* ``folder``: the folder of files, and what was last applied from it.
* ``publication``: a configuration into the store.
* ``applying``: folder, store and processes together.
* ``processes``: calls to running processes.
"""
