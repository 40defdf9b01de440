"""A backend turns a long upload away before it has read it, keeps the connection and reads on. The request goes to
another backend. Do both backends get the client's body?"""
import asyncio, os, random, sys, uuid
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "common"))
import config
from harness import FRONT, Backend, Cluster, CannotRun, main, read_body, read_head

HOST, PREFIX, KEY, SERVICE = "scan1.example", "/scans7/", "k3y0ne0fmemb3r", "scanin"
# The largest dose of the site file's `garble`: share of the backends, part of their answers, length. Spells follow each
# other, as entries of a day may.
SHARE, PART, SPELL_S, PAUSE_S = 0.6, 0.03, 5.0, 1.0
BACKENDS, UPLOADS, PER_S = 5, 2400, 45
PIECE, PIECE_S = 4000, 0.0005   # how a client sends its body: 4,000 bytes each half millisecond

sent = {}      # request id -> the client's body


class EarlyBackend(Backend):
    """A sound backend that, in trouble, answers PART of the long requests 503 with X-Not-Executed before their bodies
    are in, keeps the connection and reads on."""
    trouble = False

    def __init__(self, *words, **more):
        super().__init__(*words, **more)
        self.wrong_rests = []

    async def handle(self, line, headers, reader, writer):
        if not (self.trouble and random.random() < PART):
            return await super().handle(line, headers, reader, writer)
        request_id = headers.get("x-request-id")
        self.record("backend", self.id, "turns away early", request_id)
        writer.write(self.answer("503 Service Unavailable", ["X-Not-Executed: 1"], request_id))
        await writer.drain()
        body = await read_body(reader, headers)
        state = "it breaks off" if body is None else "the client's body" if body == sent.get(request_id) else "ANOTHER BODY"
        self.record("backend", self.id, "reads on, the rest of", request_id, ":", state, "-" if body is None else len(body))
        if body is not None and body != sent.get(request_id):
            self.wrong_rests.append((request_id, len(body)))
        return body is not None


async def upload(address, request_id, body, record):
    """One try of a client on a new connection, with a body in chunks."""
    writer, status = None, 0
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write((f"POST {PREFIX}sheet HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
                      f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for at in range(0, len(body), PIECE):
            part = body[at:at + PIECE]
            writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        got = await asyncio.wait_for(read_head(reader), 4)
        status = int(got[0].split()[1]) if got else 0
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    record("client", request_id, "sent", len(body), "bytes, answer", status)
    return status


async def scenario(record, trouble):
    cluster = Cluster(record, [("manila-a", "luzon", 1, 1), ("cebu-a", "visayas", 1, 1), ("davao-a", "mindanao", 0, 1)])
    try:
        backends = [EarlyBackend(record, f"i-{n:04x}", SERVICE, "manila-a" if n < 3 else "cebu-a", slots=6, work_s=0.11) for n in range(BACKENDS)]
        await cluster.start(backends, config.first([config.route("r-scan", HOST, PREFIX, "upload", SERVICE)],
                                                   [config.tenant("member1", KEY)], [config.service(SERVICE)]))
        async def served():
            oks = [await upload((m.ip, FRONT), uuid.uuid4().hex[:16], b"x" * 100000, record) == 200 for m in cluster.edges]
            return all(oks)
        await cluster.wait_ready(served)
        await asyncio.sleep(5)
        async def spells():
            while trouble:
                ill = random.sample(backends, int(BACKENDS * SHARE))
                for backend in ill:
                    backend.trouble = True
                await asyncio.sleep(SPELL_S)
                for backend in ill:
                    backend.trouble = False
                await asyncio.sleep(PAUSE_S)
        troubling = asyncio.create_task(spells())
        tasks, statuses = [], {}
        async def one(address, request_id, body):
            statuses[request_id] = await upload(address, request_id, body, record)
        for n in range(UPLOADS):
            request_id, body = uuid.uuid4().hex[:16], random.randbytes(random.randint(100000, 360000))
            sent[request_id] = body
            tasks.append(asyncio.create_task(one((cluster.edges[n % 2].ip, FRONT), request_id, body)))
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.gather(*tasks)
        troubling.cancel()
        await asyncio.sleep(4)
        ok = sum(status == 200 for status in statuses.values())
        if ok < UPLOADS // 2:
            raise CannotRun(f"only {ok} of {UPLOADS} uploads were served")
        breaks = []
        for backend in backends:
            for _, request_id, _, _, body in backend.runs:
                if request_id in sent and body != sent[request_id]:
                    breaks.append(f"UNASKED: {backend.id} ran {request_id} with {len(body)} bytes that are not the client's body "
                                  f"of {len(sent[request_id])}; the client got {statuses[request_id]}")
            for request_id, length in backend.wrong_rests:
                breaks.append(f"UNASKED: {backend.id} got other bytes where the rest of the body of {request_id} was due: "
                              f"a whole body of {length} bytes; the client sent {len(sent[request_id])}")
        return breaks
    finally:
        cluster.stop()

main(scenario)
