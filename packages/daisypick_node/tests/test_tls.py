import pathlib

import fleet as fleet_module
import pytest

from daisypick_node import settings as settings_module
from daisypick_node.http import client

FOLDER = pathlib.Path(__file__).parent / "tls"
TLS = {
    "tls_certificate": str(FOLDER / "certificate.pem"),
    "tls_key": str(FOLDER / "key.pem"),
    "tls_ca": str(FOLDER / "certificate.pem"),
}


def test_callers_and_peers_use_tls():
    engine = fleet_module.make_engine(fleet_module.answer_stream("a"))
    fleet = fleet_module.Fleet([engine], common=TLS)
    answer = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert answer.read() == b"data: a\n\ndata: [DONE]\n\n"
    plain = client.ClientPool(timeout=2.0)
    with pytest.raises(client.CALL_ERRORS):
        plain.request(fleet.routers[0].address, "GET", "/health/live")
    fleet.stop()


def test_plain_http_beyond_loopback_requires_a_setting():
    flags = {
        "listen": "10.0.0.1:80",
        "data_centre": "sofia",
        "platform": "10.0.0.2:80",
        "fleet_keys": "fleet-key-1",
        "operator_keys": "operator-key-1",
    }
    (fault,) = settings_module.load(settings_module.RouterSettings, flags)
    assert "allow_plain" in fault.reason
    loaded = settings_module.load(
        settings_module.RouterSettings, {**flags, "allow_plain": "true"}
    )
    assert loaded.allow_plain
    assert "fleet-key-1" not in str(settings_module.describe(loaded))
