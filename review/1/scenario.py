"""Clients send uploads in chunks, and some leave while they send. Does a backend run an upload of which only a part came?"""
import asyncio, collections, os, random, sys, uuid
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import config
from harness import FRONT, Backend, Cluster, CannotRun, main, read_head

HOST, PREFIX, KEY, SERVICE = "scan1.example", "/scans7/", "k3y0ne0fmemb3r", "scanin"
# `give_up`: a share of the clients leave within x ms, by default half the aim; here 0.2 of them, in spells of 5 s.
SHARE, WITHIN_S, SPELL_S, PAUSE_S = 0.2, 0.3, 5.0, 1.0
BACKENDS, UPLOADS, PER_S = 5, 1800, 30
PIECE, PIECE_S = 20000, 0.05     # a client's link of 3.2 Mbit/s

sent = {}      # request id -> (the client's body, when the client left)


async def upload(address, request_id, body, leaves_after, record):
    """One try of a client on a new connection, with a body in chunks. Returns the status; 0 where there is no answer."""
    async def send_and_read(reader, writer):
        writer.write((f"POST {PREFIX}sheet HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
                      f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for at in range(0, len(body), PIECE):
            part = body[at:at + PIECE]
            writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            await writer.drain()
            progress[0] = at + len(part)
            await asyncio.sleep(PIECE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        progress[0] = "all"
        got = await read_head(reader)
        return int(got[0].split()[1]) if got else 0
    writer, status, progress = None, 0, [0]
    try:
        reader, writer = await asyncio.open_connection(*address)
        status = await asyncio.wait_for(send_and_read(reader, writer), leaves_after or 6)
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    record("client", request_id, f"leaves after {leaves_after:.3f} s," if leaves_after and not status else "",
           "sent", progress[0], "of", len(body), "bytes, answer", status)
    sent[request_id] = (body, progress[0])
    return status


async def scenario(record, trouble):
    cluster = Cluster(record, [("manila-a", "luzon", 1, 1), ("cebu-a", "visayas", 1, 1), ("davao-a", "mindanao", 0, 1)])
    try:
        backends = [Backend(record, f"i-{n:04x}", SERVICE, "manila-a" if n < 3 else "cebu-a", slots=6, work_s=0.11) for n in range(BACKENDS)]
        await cluster.start(backends, config.first([config.route("r-scan", HOST, PREFIX, "upload", SERVICE)],
                                                   [config.tenant("member1", KEY)], [config.service(SERVICE)]))
        async def served():
            oks = [await upload((m.ip, FRONT), uuid.uuid4().hex[:16], b"x" * 100000, None, record) == 200 for m in cluster.edges]
            return all(oks)
        await cluster.wait_ready(served)
        await asyncio.sleep(5)
        giving_up = False
        async def spells():
            nonlocal giving_up
            while trouble:
                giving_up = True
                await asyncio.sleep(SPELL_S)
                giving_up = False
                await asyncio.sleep(PAUSE_S)
        troubling = asyncio.create_task(spells())
        tasks, statuses = [], collections.Counter()
        async def one(address, request_id, body, leaves_after):
            statuses[await upload(address, request_id, body, leaves_after, record)] += 1
        for n in range(UPLOADS):
            request_id, body = uuid.uuid4().hex[:16], random.randbytes(random.randint(100000, 360000))
            leaves_after = random.uniform(0, WITHIN_S) if giving_up and random.random() < SHARE else None
            tasks.append(asyncio.create_task(one((cluster.edges[n % 2].ip, FRONT), request_id, body, leaves_after)))
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.gather(*tasks)
        troubling.cancel()
        await asyncio.sleep(2)
        record("answers:", dict(statuses))
        print("answers:", dict(statuses))
        if statuses[200] < UPLOADS // 2:
            raise CannotRun("too few uploads were served")
        return [f"UNASKED: {backend.id} ran {request_id} with a body of {len(body)} bytes; the client's has {len(sent[request_id][0])}, "
                f"of which it sent {sent[request_id][1]} before it left"
                for backend in backends for _, request_id, _, _, body in backend.runs
                if request_id in sent and body != sent[request_id][0]]
    finally:
        cluster.stop()

main(scenario)
