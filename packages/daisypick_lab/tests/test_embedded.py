import errno

import pytest

from daisypick_lab import embedded


def test_port_in_use_is_replaced_by_another():
    # Another program may bind the port between the search and the start. The
    # fleet must then start on another port; other errors are raised.
    tried = []

    def start(address):
        tried.append(address)
        if len(tried) < 3:
            raise OSError(errno.EADDRINUSE, "taken")

    assert embedded.listen_on_free_address(start) == tried[2]

    def refuse(address):
        raise OSError(errno.EACCES, "denied")

    with pytest.raises(OSError, match="denied"):
        embedded.listen_on_free_address(refuse)
