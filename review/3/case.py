"""A server list with one unreadable entry is never applied again."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

DRAIN = harness.BOUNDS["DrainMs"] / 1000.0
# After the store has accepted the report, a replica goes on for DrainMs "and a
# little longer".
SERVES_ON = DRAIN + 4.0
# Seconds that a replica works on a request.
WORK = 0.09
TENANTS = [{"Name": "union", "ApiKeys": ["k-union-1"]}]
# What the other writer has put: text, a number or bytes that cannot be read.
UNREADABLE_BY_NAME = {
    "text": b'{"Service":"\\ud83d","Seq":1}',
    "number": b'{"Service":"desk","Slots":1e999,"Seq":1}',
    "bytes": b'{"Service":"caf\xe9","Seq":1}',
}
VARIANT = os.environ.get("VARIANT", "text")


def make_look():
    return {"method": "GET", "path": "/look/1", "key": "k-union-1"}


def make_order():
    return {
        "method": "POST",
        "path": "/order/1",
        "key": "k-union-1",
        "body": b"plot=17",
    }


async def play(deployment):
    await deployment.start(harness.make_manifest(7, TENANTS))
    began_at = time.monotonic()
    answers = []
    senders = [
        asyncio.create_task(
            harness.keep_sending(
                answers,
                harness.Requester(deployment.record, router),
                make_order if number % 3 else make_look,
                until=began_at + 30.0,
                pause=0.08,
            )
        )
        for router in deployment.routers
        for number in range(15)
    ]
    await asyncio.sleep(6.0)
    if harness.TROUBLE:
        entry = UNREADABLE_BY_NAME[VARIANT]
        deployment.record.say(f"entry of another writer: {entry!r}")
        deployment.store.put("servers", "i-foreign", entry)
    await asyncio.sleep(6.0)
    leaving = deployment.replicas[0]
    draining_since = leaving.drain()
    await asyncio.sleep(SERVES_ON)
    leaving.end()
    await asyncio.gather(*senders)
    return judge(deployment, answers, leaving, draining_since)


def judge(deployment, answers, leaving, draining_since):
    """DRAIN: requests reach a replica later than DrainMs after its report."""
    record = deployment.record
    answer_by_id = {answer.attempt: answer for answer in answers}
    late = [run for run in leaving.runs if run["at"] > draining_since + DRAIN]
    for run in late:
        record.write(
            "arrived late",
            id=run["id"],
            after=f"{run['at'] - draining_since:.3f}",
            path=run["path"],
        )
    lost = [
        answer_by_id[attempt]
        for attempt in leaving.cut
        if attempt in answer_by_id
        and not (
            answer_by_id[attempt].status == 200
            and answer_by_id[attempt].is_whole
        )
    ]
    served = sum(answer.status == 200 and answer.is_whole for answer in answers)
    record.say(f"{len(answers)} sent, {served} served")
    if served < len(answers) / 2:
        raise harness.CannotRun("less than half was served")
    record.say(
        f"{len(late)} requests reached {leaving.name} later than {DRAIN} s"
        f" after its report was acknowledged"
    )
    record.say(
        f"{len(leaving.cut)} of its runs were cut as it ended;"
        f" {len(lost)} of these requests got no answer of a replica:"
        f" {[(answer.path, answer.status) for answer in lost]}"
    )
    return bool(late)


harness.run(FOLDER, play, work=WORK)
