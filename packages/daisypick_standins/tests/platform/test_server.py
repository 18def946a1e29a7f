from geventhttpclient import client as http_client
import msgspec

from daisypick_standins.platform import server


def _connect(address):
    host, port = address.split(":")
    return http_client.HTTPClient(host, int(port))


def _post(address, path, body):
    response = _connect(address).post(path, body)
    return response.status_code, response.read()


def test_faults_and_vms_can_be_set_over_http():
    now = [0.0]
    platform = server.Platform(vm_lag=5.0, clock=lambda: now[0])
    platform.start()
    status, _ = _post(platform.address, "/standin/faults", b'{"dely": 1}')
    assert status == 400
    body = msgspec.json.encode({"outage": "unavailable"})
    assert _post(platform.address, "/standin/faults", body)[0] == 200
    assert _connect(platform.address).get("/v1/vms").status_code == 503
    vm = {"address": "10.0.0.1", "data_centre": "sofia", "state": "leaving"}
    assert _post(platform.address, "/standin/vms", msgspec.json.encode(vm))[
        0
    ] == (204)
    assert platform.vms.list(4.9) == []
    assert platform.vms.list(5.0)[0].state == "leaving"
    platform.stop()
