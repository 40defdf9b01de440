"""A full backend turns a booking away, and in trouble its answer comes a second time, late. The request is sent again to
the same backend on the same connection. Is the late copy taken for the answer to the second attempt?"""
import asyncio, collections, os, random, sys, uuid
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import config
from harness import FRONT, Backend, Cluster, CannotRun, http, main, read_body

HOST, PREFIX, KEY, SERVICE = "acc1.example", "/accessions7/", "k3y0ne0fmemb3r", "accdesk"
# The largest dose of the site file's `garble` (extra late): part of the answers, length (share: 0.6; here one of two
# backends). Spells follow each other, as entries of a day may.
PART, SPELL_S, PAUSE_S = 0.03, 5.0, 1.0
SLOTS, QUEUE, WORK_S = 6, 3, 0.06
LINK_S = 0.055                  # one way between regions
CLUMP, CLUMP_S, CLUMPS = 10, 0.3, 235


class FullBackend(Backend):
    """Works on SLOTS requests at a time, queues a few more and turns others away; in trouble PART of its answers come a
    second time, late."""
    trouble, taken, surplus = False, 0, ()

    async def handle(self, line, headers, reader, writer):
        body = await read_body(reader, headers)
        if body is None:
            return False
        request_id = headers.get("x-request-id")
        if headers.get("x-target-instance", self.id) != self.id:
            answer = self.answer("421 Misdirected Request", ["X-Not-Executed: 1"], request_id)
        elif self.taken >= SLOTS + QUEUE:
            self.record("backend", self.id, "is full, turns away", request_id)
            answer = self.answer("503 Service Unavailable", ["X-Not-Executed: 1"], request_id)
        else:
            self.taken += 1
            async with self.working:
                self.run(line, headers, body)
                await asyncio.sleep(WORK_S)
            self.taken -= 1
            answer = self.answer("200 OK", ["X-Response-Seal: seal-" + self.id], request_id, b"accession of " + request_id.encode())
        writer.write(answer)
        if self.trouble and random.random() < PART:
            asyncio.create_task(self.again(writer, answer, request_id))
        return True

    async def again(self, writer, answer, request_id):
        await asyncio.sleep(random.uniform(0.005, 0.1))
        if not writer.is_closing():
            self.record("backend", self.id, "sends its answer to", request_id, "a second time")
            writer.write(answer)


async def scenario(record, trouble):
    cluster = Cluster(record, [("manila-a", "luzon", 1, 1), ("cebu-a", "visayas", 0, 1), ("davao-a", "mindanao", 2, 1)])
    fronts = [m for m in cluster.edges if m.region == "mindanao"]
    try:
        backend = FullBackend(record, "i-7f3a", SERVICE, "manila-a", slots=SLOTS, link_delay_s=LINK_S)
        # The service's other backend stands in a region that may not serve this route.
        other = Backend(record, "i-9c04", SERVICE, "davao-a", slots=SLOTS)
        await cluster.start([backend, other], config.first([config.route("r-acc", HOST, PREFIX, "mutating", SERVICE, regions=["luzon", "visayas"])],
                                                    [config.tenant("member1", KEY)], [config.service(SERVICE)]))
        answers = {}
        async def post(front):
            request_id = uuid.uuid4().hex[:16]
            status, _, _ = await http((front.ip, FRONT), "POST", PREFIX + "new", b"holding " + request_id.encode() * 20,
                                      [f"Host: {HOST}", f"X-Request-Id: {request_id}", "X-Deadline-Ms: 4000", f"Authorization: Bearer {KEY}"], timeout=4)
            answers[request_id] = status
            record("client", request_id, "at", front.name, "answer", status)
            return status
        async def served():
            return all([await post(front) == 200 for front in fronts])
        await cluster.wait_ready(served)
        await asyncio.sleep(5)
        async def spells():
            while trouble:
                backend.trouble = True
                await asyncio.sleep(SPELL_S)
                backend.trouble = False
                await asyncio.sleep(PAUSE_S)
        troubling = asyncio.create_task(spells())
        tasks = []
        for _ in range(CLUMPS):
            tasks += [asyncio.create_task(post(fronts[n % 2])) for n in range(CLUMP)]
            await asyncio.sleep(CLUMP_S)
        await asyncio.gather(*tasks)
        troubling.cancel()
        await asyncio.sleep(2)
        counts = collections.Counter(answers.values())
        record("answers:", dict(counts))
        print("answers:", dict(counts))
        if counts[200] < len(answers) // 3:
            raise CannotRun("too few requests were served")
        runs = collections.Counter(request_id for _, request_id, *_ in backend.runs)
        breaks = [f"TWICE: {request_id} ran {n} times" for request_id, n in runs.items() if n > 1]
        breaks += [f"REFUSED: {request_id} was answered {status}, and {backend.id} ran it"
                   for request_id, status in answers.items() if status in (429, 503) and runs[request_id]]
        return breaks
    finally:
        cluster.stop()

main(scenario)
