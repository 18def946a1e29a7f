"""A backend server of a plain service or of a model service, as a process.

Follows the pages: it answers 421 to a request for another instance, bears its
seal and the attempt's id in each answer, runs at most ``slots`` requests at a
time, and stops work when the channel closes. Each event of a request is written
to standard output as a JSON line with the time of the monotonic clock.
"""

import argparse
import asyncio
import json
import time

_PART_BYTES = 65_536
_BODY = b"s" * _PART_BYTES


def write(event, **fields):
    print(json.dumps({"t": time.monotonic(), "event": event, **fields}), flush=True)


class Replica:
    """One backend server."""

    def __init__(self, options):
        self.options = options
        self.slots = asyncio.Semaphore(options.slots)
        self.runs = 0

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        attempt = headers.get("daisypick-attempt-id", "")
        length = int(headers.get("content-length", "0"))
        write("arrived", id=attempt, method=method, target=target, length=length,
              deadline=headers.get("daisypick-deadline-ms"),
              after=headers.get("last-event-id"))
        if headers.get("daisypick-expect-instance", self.options.id) != self.options.id:
            await reader.readexactly(length)
            await self.answer(writer, 421, attempt, b"", not_run=True)
            return True
        left = length
        while left:
            data = await reader.read(min(left, _PART_BYTES))
            if not data:
                return False
            left -= len(data)
        if target.startswith(self.options.health):
            await self.answer(writer, 200, attempt, b"ok", instance=True)
            return True
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.run(writer, headers, attempt))
        await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            await asyncio.wait({work})
            write("dropped", id=attempt)
            return False
        closed.cancel()
        try:
            await closed
            return False
        except asyncio.CancelledError:
            pass
        return work.result()

    async def run(self, writer, headers, attempt):
        async with self.slots:
            self.runs += 1
            write("run", id=attempt)
            if self.options.events:
                await self.stream(writer, headers, attempt)
            else:
                await asyncio.sleep(self.options.work_ms / 1000)
                write("ready", id=attempt)
                await self.answer(writer, 200, attempt, None)
            write("done", id=attempt)
        return True

    async def stream(self, writer, headers, attempt):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n" + self.own_headers(attempt) + b"\r\n"
        )
        _, _, count = headers.get("daisypick-token-counts", "1,1").partition(",")
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, int(count) + 1):
            await asyncio.sleep(self.options.gap_ms / 1000)
            event = b"id: %d\ndata: part %d\n\n" % (
                number * self.options.step, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def own_headers(self, attempt):
        return (
            b"Daisypick-Attempt-Id: %b\r\nDaisypick-Server-Seal: %b.%d\r\n"
            b"Daisypick-Weight-Versions: 1\r\n"
            % (attempt.encode("latin-1"), self.options.id.encode(), self.runs)
        )

    async def answer(self, writer, status, attempt, body, not_run=False, instance=False):
        size = self.options.answer_bytes if body is None else len(body)
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, size)
        head += self.own_headers(attempt)
        if not_run:
            head += b"Daisypick-Not-Executed: 1\r\n"
        if instance:
            head += b"Daisypick-Instance-Id: %b\r\n" % self.options.id.encode()
        writer.write(head + b"\r\n")
        if body is not None:
            writer.write(body)
        else:
            began, sent = time.monotonic(), 0
            while sent < size:
                part = _BODY[: size - sent]
                writer.write(part)
                await writer.drain()
                sent += len(part)
                if self.options.answer_mbps:
                    due = began + sent * 8 / (self.options.answer_mbps * 1e6)
                    await asyncio.sleep(max(due - time.monotonic(), 0))
        await writer.drain()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--ip", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=45)
    parser.add_argument("--answer-bytes", type=int, default=800)
    parser.add_argument("--answer-mbps", type=float, default=0)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--gap-ms", type=float, default=50)
    parser.add_argument("--step", type=int, default=1)
    parser.add_argument("--health", default="/health")
    options = parser.parse_args()
    replica = Replica(options)
    server = await asyncio.start_server(replica.serve, options.ip, 0, backlog=256)
    write("listening", port=server.sockets[0].getsockname()[1])
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
