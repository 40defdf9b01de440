"""A server: answers as the pages ask, and notes in a file what it runs.

Arguments: its id, the file for its notes, then options as name=value:
work_ms        time of work on a request (10)
body_bytes     size of the body of an answer (600)
slow_after     bytes of the body after which it pauses `pause_ms` before it sends the rest (0: never)
pause_ms       that pause
chunked        1: the body of an answer is sent in chunks, without a length (0)
read_per_s     bytes of a request's body that it reads a second (0: as they come)
rcvbuf         size of its receive buffers (0: as the system sets them)
"""

import asyncio
import json
import socket
import sys
import time

IDENT, NOTES = sys.argv[1], open(sys.argv[2], "a", encoding="utf-8")
OPTIONS = dict(argument.split("=", 1) for argument in sys.argv[3:])
WORK_S = float(OPTIONS.get("work_ms", 10)) / 1000
BODY = b"x" * int(OPTIONS.get("body_bytes", 600))
SLOW_AFTER = int(OPTIONS.get("slow_after", 0))
PAUSE_S = float(OPTIONS.get("pause_ms", 0)) / 1000
CHUNKED = OPTIONS.get("chunked") == "1"
READ_PER_S = float(OPTIONS.get("read_per_s", 0))
RCVBUF = int(OPTIONS.get("rcvbuf", 0))


def note(**event):
    NOTES.write(json.dumps({"at": time.monotonic(), "server": IDENT, **event}) + "\n")
    NOTES.flush()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        read = 0
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            await reader.readexactly(size + 2)
            read += size
            if size == 0:
                return read
    left = int(headers.get("content-length", "0"))
    read, began = 0, time.monotonic()
    while read < left:
        part = await reader.read(min(65536, left - read))
        if not part:
            raise asyncio.IncompleteReadError(b"", left)
        read += len(part)
        if READ_PER_S:
            ahead = began + read / READ_PER_S - time.monotonic()
            if ahead > 0.005:
                await asyncio.sleep(ahead)
    return read


async def serve(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, path, _ = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
            ident = headers.get("x-request-id")

            async def answer(status, fields, body=b""):
                text = f"HTTP/1.1 {status}\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
                framing = "Transfer-Encoding: chunked" if CHUNKED else f"Content-Length: {len(body)}"
                writer.write((text + framing + "\r\n\r\n").encode("latin-1"))
                parts = [body]
                if SLOW_AFTER and len(body) > SLOW_AFTER:
                    parts = [body[:SLOW_AFTER], body[SLOW_AFTER:]]
                for number, part in enumerate(parts):
                    if number > 0:
                        await writer.drain()
                        note(event="half of the answer sent", id=ident)
                        await asyncio.sleep(PAUSE_S)
                    if part and CHUNKED:
                        part = b"%x\r\n%b\r\n" % (len(part), part)
                    writer.write(part)
                if CHUNKED:
                    writer.write(b"0\r\n\r\n")
                await writer.drain()

            if path == "/health":
                await answer("200 OK", {"X-Instance-Id": IDENT})
                continue
            if ident is None:
                await answer("400 Bad Request", {"X-Not-Executed": "1"})
                continue
            if headers.get("x-target-instance", IDENT) != IDENT:
                await read_body(reader, headers)
                note(event="not run (421)", id=ident)
                await answer("421 Misdirected Request", {"X-Not-Executed": "1", "X-Request-Id": ident})
                continue
            note(event="run", id=ident, method=method, path=path, tenant=headers.get("x-tenant-name"),
                 key="authorization" in headers, deadline=headers.get("x-deadline-ms"))
            size = await read_body(reader, headers)
            note(event="read", id=ident, bytes=size)
            await asyncio.sleep(WORK_S)
            await answer("200 OK", {"X-Request-Id": ident, "X-Response-Seal": f"{IDENT}.{ident}"}, BODY)
            note(event="answered", id=ident)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.close()


async def main():
    listener = socket.socket()
    if RCVBUF:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RCVBUF)
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener, limit=1 << 17, backlog=512)
    print(server.sockets[0].getsockname()[1], flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
