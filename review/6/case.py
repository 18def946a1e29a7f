"""A router that is stopped closes the channels of streams that wait for a place.

Two routers share two model replicas. Long streams of the second router hold all
places. Requesters that lost a stream take it up at the first router, which gets
SIGTERM. They wait for a place when its process ends.
"""

import asyncio
import signal
import time

import harness_2 as harness

ROUTE = {
    "Name": "visit-plan", "Host": "ficu95.example", "PathPrefix": "/lohu930/",
    "Service": "kaba98a", "Kind": "streaming", "TimeoutMs": 10000,
    "LatencyTargetMs": 600, "GapTargetMs": 300, "MaxAttempts": 2, "Priority": 1,
    "Resumable": True, "Sticky": True,
}
SERVICE = {
    "Name": "kaba98a", "HealthPath": "/health", "MaxConns": 370,
    "Engine": {"Slots": 4, "KvTokenCapacity": 444000},
}
SLOTS = 4
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
# A stream is taken up only when its version is known for as long as a stream
# may last, and a second.
WARM_S = 13.0
TAKEN_UP = 6


def headers(attempt, events, **more):
    return {
        "Host": "ficu95.example", "Daisypick-Attempt-Id": attempt,
        "Daisypick-Model": "m", "Daisypick-Token-Counts": f"600,{events}",
        "Daisypick-Prompt-Prefix": f"5c1e07a2:100,{attempt}:500",
        "Daisypick-Deadline-Ms": "10000", **harness.KEY, **more,
    }


async def main(deployment, trouble):
    record = deployment.record
    await deployment.start_store()
    deployment.store.put("config", "main", harness.write_manifest([SERVICE], [ROUTE]))
    for number in (1, 2):
        await deployment.start_replica(
            f"i-{number}", "kaba98a", slots=SLOTS, events=1, gap_ms=250
        )
    first = await deployment.start_router("front-smolyan-1")
    second = await deployment.start_router("front-velingrad-1", zone="velingrad")
    record.write("both routers are ready")
    await asyncio.sleep(WARM_S)

    async def stream(router, attempt, events, channel=None, **more):
        sent = time.monotonic()
        channel = channel or await harness.Channel.open((router.ip, 8783))
        answer = await channel.request(
            "POST", "/lohu930/2f", headers(attempt, events, **more), b"p" * 2000, limit=14.0
        )
        channel.close()
        record.write(
            f"{attempt} at {router.name}: sent {sent - record.began:.3f}, status"
            f" {answer['status']}, {len(answer['events'])} events, complete"
            f" {answer['complete']}, error {answer['error']},"
            f" retry after {answer['headers'].get('retry-after')},"
            f" after {answer['end'] - sent:.3f} s"
        )
        return {**answer, "attempt": attempt, "asked": sent}

    kept = [await harness.Channel.open((first.ip, 8783)) for _ in range(TAKEN_UP)]
    stopped_at = time.monotonic()
    if trouble:
        record.write(f"SIGTERM to {first.name}")
        first.signal(signal.SIGTERM)
    await asyncio.sleep(0.4)
    long_streams = [
        asyncio.create_task(stream(second, f"long-{number}", 38))
        for number in range(2 * SLOTS)
    ]
    await asyncio.sleep(1.5)
    taken_up = [
        asyncio.create_task(
            stream(first, f"again-{number}", 20, channel, **{"Last-Event-Id": "12"})
        )
        for number, channel in enumerate(kept)
    ]
    await asyncio.sleep(stopped_at + GRACE_S - time.monotonic())
    record.write(f"{first.name} runs: {first.is_running()}; SIGKILL after GraceS")
    if trouble:
        first.signal(signal.SIGKILL)
    answers = await asyncio.gather(*taken_up)
    await asyncio.gather(*long_streams)
    arrived = {
        event["id"]
        for replica in deployment.replicas.values()
        for event in replica.read_events() if event["event"] == "arrived"
    }
    lost = []
    for answer in answers:
        cut_after = answer["end"] - answer["asked"]
        is_cut = not answer["complete"] and (answer["error"] or "").startswith("channel ended")
        at_replica = answer["attempt"] in arrived
        record.write(
            f"{answer['attempt']}: arrived at a replica: {at_replica}, cut: {is_cut}"
        )
        if is_cut and not at_replica and cut_after > LOSS_SLACK_S:
            lost.append(answer["attempt"])
    record.write(f"LOST: {len(lost)} of {len(answers)} requests: {lost}")
    return bool(lost)


if __name__ == "__main__":
    harness.run(__file__, main)
