import errno

import pytest

from daisypick_lab import embedded


def test_taken_port_is_left_for_another():
    # Another program takes the port between the search and the start: the
    # fleet must not fail to come up for it. Other errors are passed on.
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
