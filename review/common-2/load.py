"""Clients of one tenant that send at a steady rate over kept connections to several proxies.

Arguments: file for notes, key, host, path, requests a second, seconds, then the proxies as ip:port.
"""

import asyncio
import json
import sys
import time

NOTES = open(sys.argv[1], "w", encoding="utf-8")
KEY, HOST, PATH, RATE, SECONDS = sys.argv[2], sys.argv[3], sys.argv[4], float(sys.argv[5]), float(sys.argv[6])
PROXIES = [proxy.rsplit(":", 1) for proxy in sys.argv[7:]]
CONNECTIONS = 6


async def client(number, proxy, start, counts):
    interval = CONNECTIONS * len(PROXIES) / RATE
    reader = writer = None
    sent = 0
    due = start + interval * (number / (CONNECTIONS * len(PROXIES)))
    while due < start + SECONDS:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        due += interval
        ident = f"{KEY}-{PATH.strip(chr(47)).replace(chr(47), chr(45))}-{number}-{sent}"
        sent += 1
        try:
            if writer is None:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(proxy[0], int(proxy[1])), 1.0)
            writer.write((f"GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ident}\r\nX-Deadline-Ms: 3000\r\n"
                          f"Authorization: Bearer {KEY}\r\n\r\n").encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
            text = head.decode("latin-1").lower()
            status = int(text.split(" ", 2)[1])
            length = int(text.split("content-length:", 1)[1].split("\r\n", 1)[0]) if "content-length:" in text else 0
            await reader.readexactly(length)
            counts[status] = counts.get(status, 0) + 1
            if "connection: close" in text:
                writer.close()
                writer = None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            counts["failed"] = counts.get("failed", 0) + 1
            if writer is not None:
                writer.close()
            writer = None
    if writer is not None:
        writer.close()


async def main():
    counts, start = {}, time.monotonic() + 0.2
    total = CONNECTIONS * len(PROXIES)
    await asyncio.gather(*(client(n, PROXIES[n % len(PROXIES)], start, counts) for n in range(total)))
    NOTES.write(json.dumps({"key": KEY, "answers": {str(k): v for k, v in counts.items()}}) + "\n")
    NOTES.flush()


asyncio.run(main())
