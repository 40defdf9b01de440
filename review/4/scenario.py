"""A core machine stands still for about a second while operators change the configuration: is a change that was refused
meanwhile in force later?"""

import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from harness import CONTROL, FRONT, CannotRun, Cluster, exchange, limits, route, run_case, service, tenant

ROUNDS = 4
FROZEN_S = 5.0  # node_freeze: for_s = 5
CONFIG_APPLY_S = 4.0


def case(record, trouble, holder):
    cluster = Cluster(record)
    holder.append(cluster)
    servers = {name: cluster.add_server(f"i-{name}", name, "brest-a") for name in ("old", "new")}
    cluster.list_servers()
    cluster.start()
    cluster.order("PATCH", "/-/configuration", {"upserts": {
        "service_list": [service("old"), service("new")],
        "route_list": [route("first", "map.example", "/first/", "old")],
        "tenant_list": [tenant("members", ["key-members"])], "limits": limits()}, "removals": {}})
    cluster.wait_ready()
    time.sleep(6.0)  # contact_ms: the machines are in touch
    frozen, others = cluster.core()[0], cluster.core()[1:]

    def send(number, what, body):
        """One call to one gateway; returns its status if the answer is clear."""
        machine = others[number % len(others)]
        answer = exchange(machine.address(CONTROL), "PATCH", "/-/configuration", {"Host": "x"}, json.dumps(body).encode(), 1.0)
        record.line(f"{what} -> {machine.name}: {answer.status} {answer.end} {answer.body[:120].decode('utf-8', 'replace')}")
        clear = answer.end == "whole" and (answer.status == 200 or 400 <= answer.status < 500)
        return answer.status if clear else None

    def send_until_clear(number, what, body, until):
        """As operators do: to another gateway after a 5xx or a second of silence, with a pause that grows."""
        pause = 0.1
        while time.monotonic() < until:
            status = send(number, what, body)
            if status is not None:
                return status
            number += 1
            time.sleep(pause)
            pause *= 1.5
        return None

    def freeze(number):
        record.line(f"round {number}: {frozen.name} stands still")
        cluster.signal(frozen, signal.SIGSTOP)
        return time.monotonic()

    def thaw(number, frozen_at):
        time.sleep(0.1)
        cluster.signal(frozen, signal.SIGCONT)
        took = time.monotonic() - frozen_at
        record.line(f"round {number}: {frozen.name} goes on after {took:.2f} s")
        if took > FROZEN_S + 0.5:
            raise CannotRun("the machine stood still for too long")

    def play(number, prepare, order, clear_way):
        """Prepares, then has `order` refused and its obstacle cleared away while the machine stands still; returns whether
        both was so."""
        if send_until_clear(1, f"round {number}: prepared", prepare, time.monotonic() + 5.0) != 200:
            raise CannotRun("the first change was not taken")
        time.sleep(0.5)
        frozen_at = freeze(number) if trouble else time.monotonic()
        until = frozen_at + FROZEN_S
        refused = send_until_clear(0, f"round {number}: the order", order, until)
        cleared = send_until_clear(1, f"round {number}: what stands in its way goes", clear_way, until)
        if trouble:
            thaw(number, frozen_at)
        time.sleep(CONFIG_APPLY_S)
        if refused != 400 or cleared != 200:
            record.line(f"round {number}: not judged ({refused}, {cleared})")
        return refused == 400 and cleared == 200

    def read_back(number):
        answer = exchange(others[0].address(CONTROL), "GET", "/-/configuration", {"Host": "x"}, wait=2.0)
        if answer.status != 200:
            raise CannotRun("the configuration could not be read")
        lists = json.loads(answer.body)
        names = {kind: {item["name"]: item for item in lists[kind]} for kind in ("route_list", "service_list")}
        record.line(f"round {number}: read back: {sorted(names['route_list'])} {sorted(names['service_list'])}")
        return names

    def route_round(number):
        """A route is refused since another stands at its place, which is then dropped."""
        host = f"desk-{number}.example"
        is_judged = play(
            number,
            {"upserts": {"route_list": [route(f"old-{number}", host, "/sheets/", "old")]}, "removals": {}},
            {"upserts": {"route_list": [route(f"new-{number}", host, "/sheets/", "new")]}, "removals": {}},
            {"upserts": {}, "removals": {"route_list": [{"name": f"old-{number}", "config_version": "r2"}]}})
        names = read_back(number)
        for edge in cluster.edges():
            ident = f"probe-{number}-{edge.name}"
            answer = exchange(edge.address(FRONT), "GET", "/sheets/1", {
                "Host": host, "X-Request-Id": ident, "X-Deadline-Ms": "3000", "Authorization": "Bearer key-members"})
            ran = [name for name, server in servers.items()
                   if any(event["event"] == "run" and event["id"] == ident for event in server.runs())]
            record.line(f"{ident}: {answer.status}, ran at {ran}")
        is_broken = is_judged and f"new-{number}" in names["route_list"]
        if is_broken:
            record.line(f"round {number}: route new-{number} was refused, and is in force")
        return is_broken

    def service_round(number):
        """The removal of a service is refused since a route goes there; the route is then moved away."""
        host, name = f"desk-{number}.example", f"archive-{number}"
        is_judged = play(
            number,
            {"upserts": {"service_list": [service(name)], "route_list": [route(f"user-{number}", host, "/a/", name)]},
             "removals": {}},
            {"upserts": {}, "removals": {"service_list": [{"name": name, "config_version": "r2"}]}},
            {"upserts": {"route_list": [route(f"user-{number}", host, "/a/", "old", version=2)]}, "removals": {}})
        is_broken = is_judged and name not in read_back(number)["service_list"]
        if is_broken:
            record.line(f"round {number}: the removal of service {name} was refused, and the service is gone")
        return is_broken

    rounds = [(route_round if number % 2 else service_round)(number) for number in range(1, ROUNDS + 1)]
    broken = any(rounds)
    return broken


run_case(case, FOLDER)
