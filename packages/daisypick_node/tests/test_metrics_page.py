import json

import fleet as fleet_module

OPERATOR = {"Authorization": "Bearer operator-key-1"}


def test_metrics_show_requests_refusals_and_control_traffic():
    engine = fleet_module.make_engine(fleet_module.answer_stream("a", "b"))
    fleet = fleet_module.Fleet([engine])
    answer = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    answer.read()
    fleet.call("POST", fleet_module.CHAT, b"{").read()
    page = fleet.call("GET", "/metrics", **OPERATOR).read().decode()
    assert "daisypick_router_requests_total 1.0" in page
    assert 'daisypick_router_refusals_total{code="1003"} 1.0' in page
    assert "daisypick_router_generation 1.0" in page
    assert 'service_tokens{organisation="union"} 3.0' in page
    assert "daisypick_router_control_bytes_total" in page
    agent = fleet.agents[0].metrics.page().decode()
    assert 'daisypick_agent_service_tokens{organisation="union"}' in agent
    request_id = answer.get("x-request-id")
    explained = fleet.call("GET", f"/internal/explain/{request_id}", **OPERATOR)
    events = [
        event["event"] for event in json.loads(explained.read())["events"]
    ]
    assert events[:2] == ["submitted", "sent"]
    fleet.stop()
