"""A plain replica as a process of its own, whose answers have no length.

An answer ends with its channel, as the users' page of rules allows. The process
prints its address, then a line for each run that it begins and ends.
"""

import asyncio
import sys

import harness


def make_body(name, attempt):
    """Return the whole body of an answer."""
    lines = [f"{name} {attempt} line {number:03d}\n" for number in range(80)]
    return "".join(lines).encode() + b"the end\n"


async def serve(reader, writer, name, work):
    try:
        message = await harness.read_message(reader)
        if message is None:
            return
        first, headers, _ = message
        attempt = headers.get("daisypick-attempt-id", "")
        if headers.get("daisypick-expect-instance", name) != name:
            writer.write(
                harness.write_message(
                    "HTTP/1.1 421 X",
                    {"Daisypick-Instance-Id": name, "Connection": "close"},
                    b"",
                )
            )
            return
        if first.split(" ")[1] == "/health":
            writer.write(
                harness.write_message(
                    "HTTP/1.1 200 OK",
                    {"Daisypick-Instance-Id": name, "Connection": "close"},
                    b"",
                )
            )
            return
        print(f"begin {attempt}", flush=True)
        body = make_body(name, attempt)
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                "Content-Type: text/plain\r\n"
                "Connection: close\r\n"
                f"Daisypick-Attempt-Id: {attempt}\r\n"
                f"Daisypick-Server-Seal: {name}.{attempt}\r\n\r\n"
            ).encode()
        )
        for part in range(4):
            await asyncio.sleep(work / 4)
            size = len(body) // 4 + 1
            writer.write(body[part * size : (part + 1) * size])
            await writer.drain()
        print(f"end {attempt}", flush=True)
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    name, work = sys.argv[1], float(sys.argv[2])
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, name, work),
        "127.0.0.1",
        0,
    )
    ip, port = server.sockets[0].getsockname()
    print(f"{ip}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
