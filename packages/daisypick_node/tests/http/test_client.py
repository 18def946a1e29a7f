import gevent.server
import pytest

from daisypick_node.http import client


@pytest.fixture
def closing_server():
    """A server that reads each request and closes without an answer."""
    received = []

    def close_without_answer(sock, _):
        received.append(sock.recv(65536))
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), close_without_answer)
    server.start()
    yield f"127.0.0.1:{server.server_port}", received
    server.stop()


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
def test_broken_call_is_sent_once(closing_server, method):
    # A backend server takes a booking and its connection closes before the
    # answer. The HTTP library would send PUT, DELETE and GET again by itself;
    # the booking would run twice although nobody decided to repeat it.
    address, received = closing_server
    pool = client.ClientPool(timeout=5.0)
    with pytest.raises(client.CALL_ERRORS):
        pool.request(address, method, "/bookings", body=b"plot 7")
    assert len(received) == 1


def test_cut_answer_is_an_error():
    # The far end dies in the middle of an answer. What has arrived must not
    # pass for the whole answer.
    def cut(sock, _):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), cut)
    server.start()
    pool = client.ClientPool(timeout=5.0)
    response = pool.request(f"127.0.0.1:{server.server_port}", "GET", "/")
    assert client.read_available(response) == b"half"
    with pytest.raises(client.CALL_ERRORS):
        client.read_available(response)
    server.stop()
