"""A tenant with a small burst becomes hot: do its requests that run stay within its quota?"""

import os
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
COMMON = os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "common-2")
sys.path.insert(0, COMMON)

from harness import FRONT, Cluster, limits, route, run_case, service, tenant

RATE, BURST = 100, 5
USUAL = 40.0  # requests a second, within the quota
HOT = 5  # hot_tenant: x = 7.5 for 6.5 s at the most
USUAL_S, HOT_S = 8.0, 6.5
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0  # quota_window_s, quota_overage, quota_slack


def case(record, trouble, holder):
    cluster = Cluster(record, edges=2)
    holder.append(cluster)
    zones = list(cluster.zones)
    for number in range(6):
        server = cluster.add_server(f"i-desk-{number}", "desk", zones[number % 3], "work_ms=20")
        server.slots = 20
    cluster.list_servers()
    cluster.start()
    cluster.order("PATCH", "/-/configuration", {"upserts": {
        "service_list": [service("desk")], "route_list": [route("r-desk", "map.example", "/desk/", "desk")],
        "tenant_list": [tenant("luzon", ["key-luzon"], rate=RATE, burst=BURST)], "limits": limits()},
        "removals": {}})
    cluster.wait_ready()
    time.sleep(6.0)  # contact_ms: the machines are in touch
    fronts = [f"{edge.ip}:{FRONT}" for edge in cluster.edges()]

    def load(name, rate, seconds):
        notes = os.path.join(cluster.folder, f"load-{name}.txt")
        return notes, subprocess.Popen([sys.executable, os.path.join(COMMON, "load.py"), notes, "key-luzon", "map.example",
                                        f"/desk/{name}", str(rate), str(seconds), *fronts])

    loads = [load("usual", USUAL, USUAL_S + HOT_S + 4.0)]
    time.sleep(USUAL_S)
    if trouble:
        record.line(f"the tenant sends {HOT} times its usual for {HOT_S} s")
        loads.append(load("hot", USUAL * (HOT - 1), HOT_S))
    for notes, process in loads:
        process.wait()
        with open(notes, encoding="utf-8") as answers:
            record.line(f"answers: {answers.read().strip()}")

    runs = sorted(event["at"] for server in cluster.servers for event in server.runs() if event["event"] == "run")
    first, most, began = 0, 0, 0.0
    for last, at in enumerate(runs):
        while runs[first] <= at - WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, began = last - first + 1, runs[first]
    by_second = {}
    for at in runs:
        second = int(at - record.began)
        by_second[second] = by_second.get(second, 0) + 1
    record.line(f"runs by second of the script: {by_second}")
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    record.line(f"{len(runs)} runs; at most {most} within {WINDOW_S} s (from {began - record.began:.1f} s), "
                f"{allowed:.1f} allowed")
    return most > allowed


run_case(case, FOLDER)
