"""One entry of another writer leaves a whole service unanswered."""

import asyncio
import json
import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

TIMEOUT = 2.5
SLACK = 0.5
LIMIT = 4.0
TENANTS = [{"Name": "union", "ApiKeys": ["k-union-1"]}]


def make_call():
    return {
        "method": "GET",
        "path": "/look/1",
        "key": "k-union-1",
        "limit": LIMIT,
    }


def make_order():
    return {
        "method": "POST",
        "path": "/order/1",
        "key": "k-union-1",
        "limit": LIMIT,
        "body": b"plot=17",
    }


def find_closed_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write_foreign_entry(deployment):
    """Write a complete entry, but for ``Slots``, which is no number."""
    entry = {
        "Service": "desk",
        "Address": f"127.0.0.1:{find_closed_port()}",
        "Zone": "z1",
        "Version": "v1",
        "Slots": False,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
    }
    deployment.record.say(f"entry of another writer: {json.dumps(entry)}")
    deployment.store.put("servers", "i-foreign", entry)


async def play(deployment):
    await deployment.start(harness.make_manifest(7, TENANTS))
    began_at = time.monotonic()
    answers = []
    senders = [
        asyncio.create_task(
            harness.keep_sending(
                answers,
                harness.Requester(deployment.record, router),
                make_call if number % 2 else make_order,
                until=began_at + 40.0,
                pause=0.25,
            )
        )
        for router in deployment.routers
        for number in range(6)
    ]
    await asyncio.sleep(10.0)
    if harness.TROUBLE:
        write_foreign_entry(deployment)
    trouble_at = time.monotonic()
    await asyncio.gather(*senders)
    return judge(deployment, answers, trouble_at)


def judge(deployment, answers, trouble_at):
    """CONFIG: unanswered at TimeoutMs, and still half a second later."""
    for title, chosen in (
        (
            "before",
            [a for a in answers if a.sent_at and a.sent_at < trouble_at],
        ),
        (
            "after",
            [a for a in answers if a.sent_at and a.sent_at >= trouble_at],
        ),
    ):
        good = sum(a.status == 200 and a.is_whole for a in chosen)
        unanswered = sum(a.outcome == "unanswered" for a in chosen)
        deployment.record.say(
            f"{title}: {len(chosen)} sent, {good} served,"
            f" {unanswered} unanswered after {LIMIT} s,"
            f" {len(chosen) - good - unanswered} others"
        )
        if title == "before" and good < len(chosen) / 2:
            raise harness.CannotRun("less than half was served before")
    late = [a for a in answers if a.sent_at and a.seconds >= TIMEOUT]
    lost = [a for a in late if a.seconds >= TIMEOUT + SLACK]
    deployment.record.say(
        f"unanswered at TimeoutMs: {len(late)}; of these still without an"
        f" answer half a second later: {len(lost)}"
    )
    return len(lost) >= 8 and len(lost) > len(late) / 2


harness.run(FOLDER, play)
