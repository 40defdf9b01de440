"""All processes of the core are killed while an operator takes evacuations back. The operator then orders the zones out again
instead, which is acknowledged: do their servers still get requests?"""

import os
import random
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "common-2"))

from harness import CONTROL, FRONT, CannotRun, Cluster, exchange, limits, route, run_case, service, tenant

ZONES = [f"hall-{number}" for number in range(8)]  # "Up to eight orders may be under way at once"
RETURN_S = 1.0  # "every process of the core may be killed simultaneously and return within a second"
EVACUATION_S = 5.0  # evacuation_ms
LAST_ROUND_S = 92.0  # no round begins later


def case(record, trouble, holder):
    cluster = Cluster(record)
    holder.append(cluster)
    for zone in ZONES:
        cluster.zones[zone] = "finistere"
    for number, zone in enumerate(ZONES):
        cluster.add_server(f"i-{zone}", f"service-{number}", zone)
    cluster.list_servers()
    cluster.start()
    cluster.order("PATCH", "/-/configuration", {"upserts": {
        "service_list": [service(f"service-{number}") for number in range(len(ZONES))],
        "route_list": [route(f"route-{number}", "map.example", f"/{zone}/", f"service-{number}")
                       for number, zone in enumerate(ZONES)],
        "tenant_list": [tenant("members", ["key-members"])], "limits": limits()}, "removals": {}})
    cluster.wait_ready()
    time.sleep(2.0)
    core = cluster.core()
    last_to_return, returning = core[0], core[1:]

    def order(machine, method, zone):
        answer = exchange(machine.address(CONTROL), method, f"/-/evacuations/{zone}", {"Host": "x"}, wait=1.0)
        return answer.status if answer.end == "whole" else 0

    def order_until_taken(method, zone, machines):
        until, number = time.monotonic() + 6.0, 0
        while time.monotonic() < until:
            if order(machines[number % len(machines)], method, zone) == 200:
                return True
            number += 1
            time.sleep(0.05)
        return False

    def send(edge, zone, ident):
        answer = exchange(edge.address(FRONT), "GET", f"/{zone}/sheet", {
            "Host": "map.example", "X-Request-Id": ident, "X-Deadline-Ms": "3000", "Authorization": "Bearer key-members"})
        return answer.status

    served, round_number = [], 0
    while not served and time.monotonic() - record.began < LAST_ROUND_S:
        round_number += 1
        for zone in ZONES:
            if not order_until_taken("POST", zone, core):
                raise CannotRun("an evacuation was not taken")
        statuses = {}

        def take_back(zone):
            statuses[zone] = order(last_to_return, "DELETE", zone)

        threads = [threading.Thread(target=take_back, args=(zone,)) for zone in ZONES]
        for thread in threads:
            thread.start()
        if not trouble:
            for thread in threads:
                thread.join()
        time.sleep(random.uniform(0.005, 0.035))
        killed = time.monotonic()
        if trouble:
            for machine in returning + [last_to_return]:
                for process in machine.processes.values():
                    process.send_signal(signal.SIGKILL)
            for machine in core:
                cluster.kill(machine)
            cluster.start(returning, initial_start=False)
        for thread in threads:
            thread.join()
        # Without trouble every order is answered: the zones are ordered out again all the same.
        again = [zone for zone in ZONES if statuses[zone] != 200 or not trouble]
        again = [zone for zone in again if order_until_taken("POST", zone, returning)]
        acknowledged = time.monotonic()
        if trouble:
            cluster.start([last_to_return], initial_start=False)
            took = time.monotonic() - killed
            record.line(f"round {round_number}: no answer to the withdrawal of {len(again)} zones; ordered out again, "
                        f"acknowledged; the last core machine is back {took:.2f} s after the kill")
            if took > RETURN_S:
                again = []
        time.sleep(2.0)
        edge = cluster.edges()[0]
        suspects = [zone for zone in again if send(edge, zone, f"look-{round_number}-{zone}") == 200]
        if not suspects:
            if not trouble and round_number == 8:
                break
            continue
        time.sleep(max(0.0, acknowledged + EVACUATION_S + 1.0 - time.monotonic()))
        for zone in suspects:
            for edge in cluster.edges():
                ident = f"probe-{round_number}-{zone}-{edge.name}"
                status = send(edge, zone, ident)
                ran = [server.ident for server in cluster.servers
                       if any(event["event"] == "run" and event["id"] == ident for event in server.runs())]
                record.line(f"{ident}: {time.monotonic() - acknowledged:.1f} s after the acknowledgement: {status}, ran at {ran}")
                served += ran
    record.line(f"{round_number} rounds")
    return bool(served)


run_case(case, FOLDER)
