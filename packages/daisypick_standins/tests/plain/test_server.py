from geventhttpclient import client as http_client
from geventhttpclient import response as http_response
import msgspec
import pytest

from daisypick_standins.plain import faults as plain_faults
from daisypick_standins.plain import server


@pytest.fixture
def service():
    subject = server.PlainService()
    subject.start()
    yield subject
    subject.stop()


def _call(service, method, path, body=b"", **headers):
    host, port = service.address.split(":")
    client = http_client.HTTPClient(host, int(port))
    named = {name.replace("_", "-"): v for name, v in headers.items()}
    return client.request(method, path, body, named)


def test_response_describes_the_request(service):
    response = _call(service, "POST", "/bookings?plot=7", b"x", X_Marker="m1")
    body = msgspec.json.decode(response.read())
    assert (response.status_code, body["method"]) == (201, "POST")
    assert (body["path"], body["query"]) == ("/bookings", {"plot": "7"})
    assert (body["marker"], body["run"], body["body_size"]) == ("m1", 1, 1)
    assert ["x-marker", "m1"] in body["headers"]


def test_binary_body_is_echoed(service):
    data = bytes(range(256)) * 300
    response = _call(service, "PATCH", "/engravings", data, X_Echo="body")
    assert response.read() == data


def test_faults_before_and_after_the_run(service):
    def post():
        return _call(service, "POST", "/payments", b"pay", X_Marker="m1")

    service.set_faults(plain_faults.Faults(refuse=1, fail=1, half=1))
    assert post().status_code == 503
    assert service.runs_by_marker["m1"] == 0
    assert post().status_code == 500
    assert service.runs_by_marker["m1"] == 1
    with pytest.raises(http_response.HTTPParseError):
        post().read()
    service.set_faults(plain_faults.Faults(lose=1))
    with pytest.raises(http_response.HTTPConnectionClosed):
        post()
    runs = msgspec.json.decode(_call(service, "GET", "/standin/runs").read())
    assert runs == {"m1": 3}
