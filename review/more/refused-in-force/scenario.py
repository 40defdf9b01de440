"""An operator's change reaches a core machine that stands still, is sent again elsewhere and refused. Then another operator
takes away what it clashed with, and the machine goes on. Does the refused change come into force?"""
import asyncio, json, os, signal, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "common"))
import config
from harness import CONTROL, Backend, Cluster, CannotRun, http, main

HOST = "acc1.example"
FREEZE_S = 2.4       # `node_freeze`: a machine stands still for for_s, by default 5 s; one of the counted machines, as tolerated
ROUNDS = 8


def upsert(name, version):
    return config.route(name, HOST, "/accessions7/", "mutating", "accdesk", version=f"r{version}")


async def scenario(record, trouble):
    cluster = Cluster(record, [("manila-a", "luzon", 0, 1), ("cebu-a", "visayas", 0, 1), ("davao-a", "mindanao", 0, 1)])
    try:
        backend = Backend(record, "i-0001", "accdesk", "manila-a")
        await cluster.start([backend], config.first([upsert("r-old", 1)], [config.tenant("member1", "k3y0ne")], [config.service("accdesk")]))
        await asyncio.sleep(4)
        breaks = []
        async def send(first, upserts, removals=()):
            body = {"upserts": {"route_list": list(upserts)},
                    "removals": {"route_list": [{"name": name, "config_version": f"r{version}"} for name, version in removals]}}
            return await cluster.operator("PATCH", "/-/configuration", body, limit_s=10, first=first)
        for n in range(ROUNDS):
            version = 10 + 3 * n
            frozen = 1 + n % 2           # not the first voter, which is the one that proposes for all
            if await send(0, [upsert("r-old", version)], [("r-new", version)]) != 200:
                raise CannotRun("the round's first configuration was not taken")
            await asyncio.sleep(1.5)
            async def first_operator():
                await asyncio.sleep(0.05)
                return await send(frozen, [upsert("r-new", version + 1)])
            async def second_operator():
                await asyncio.sleep(1.35)
                return await send(0, [], [("r-old", version + 1)])
            async def freeze():
                if trouble:
                    cluster.signal(cluster.cores[frozen], signal.SIGSTOP)
                    await asyncio.sleep(FREEZE_S)
                    cluster.signal(cluster.cores[frozen], signal.SIGCONT)
            answer, removed, _ = await asyncio.gather(first_operator(), second_operator(), freeze())
            await asyncio.sleep(2)
            status = 0
            while status != 200:
                status, _, text = await http((cluster.cores[0].ip, CONTROL), "GET", "/-/configuration")
            in_force = {route["name"]: route["config_version"] for route in json.loads(text)["route_list"]}
            record("round", n, "r-new was answered", answer, "the removal of r-old", removed, "read back", in_force)
            if answer == 400 and in_force.get("r-new") == f"r{version + 1}":
                breaks.append(f"CONFIG: r-new r{version + 1} was refused with 400, and is in force")
        return breaks
    finally:
        cluster.stop()

main(scenario)
