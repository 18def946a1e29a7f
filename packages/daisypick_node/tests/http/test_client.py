import gevent.server
import pytest

from daisypick_node.http import client


@pytest.fixture
def closing_server():
    """A server that reads each request and closes without a response."""
    received = []

    def close_without_response(sock, _):
        received.append(sock.recv(65536))
        sock.close()

    server = gevent.server.StreamServer(
        ("127.0.0.1", 0), close_without_response
    )
    server.start()
    yield f"127.0.0.1:{server.server_port}", received
    server.stop()


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
def test_failed_call_is_sent_once(closing_server, method):
    # The connection closes after the server has read a request and before it
    # responds. The HTTP library would resend PUT, DELETE and GET by itself,
    # and a request that is not repeatable would run twice.
    address, received = closing_server
    pool = client.ClientPool(timeout=5.0)
    with pytest.raises(client.CALL_ERRORS):
        pool.request(address, method, "/bookings", body=b"plot 7")
    assert len(received) == 1


def test_truncated_response_is_an_error():
    # The server closes the connection within a response. The partial body must
    # not be taken for the whole response.
    def send_partial_response(sock, _):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), send_partial_response)
    server.start()
    pool = client.ClientPool(timeout=5.0)
    response = pool.request(f"127.0.0.1:{server.server_port}", "GET", "/")
    assert client.read_available(response) == b"half"
    with pytest.raises(client.CALL_ERRORS):
        client.read_available(response)
    server.stop()
