"""The last tenant of a deployment is removed: is a request with its key, or with a key that never was, still run?"""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from harness import FRONT, Cluster, exchange, limits, route, run_case, service, tenant

CONFIG_APPLY_S = 4.0


def case(record, trouble, holder):
    cluster = Cluster(record)
    holder.append(cluster)
    for number, zone in enumerate(cluster.zones):
        cluster.add_server(f"i-desk-{number}", "desk", zone)
    cluster.list_servers()
    cluster.start()
    cluster.order("PATCH", "/-/configuration", {"upserts": {
        "service_list": [service("desk")],
        "route_list": [route("r-read", "map.example", "/read/", "desk"),
                       route("r-write", "map.example", "/write/", "desk", kind="mutating")],
        "tenant_list": [tenant("kapuluan", ["key-kapuluan"], rate=115, burst=115)], "limits": limits()},
        "removals": {}})
    cluster.wait_ready()
    time.sleep(6.0)  # contact_ms: the machines are in touch
    sent = []

    def send(edge, phase, key, method, path):
        ident = f"{phase}-{len(sent)}"
        headers = {"Host": "map.example", "X-Request-Id": ident, "X-Deadline-Ms": "3000"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        answer = exchange(edge.address(FRONT), method, path, headers, b"entry" if method == "POST" else b"")
        sent.append((ident, key))
        record.line(f"{ident} -> {edge.name}: {method} {path} with {key or 'no key'} -> {answer.status} {answer.end}")

    def send_all(phase):
        for edge in cluster.edges():
            for key in ("key-kapuluan", "key-that-never-was", None):
                send(edge, phase, key, "GET", "/read/sheet")
                send(edge, phase, key, "POST", "/write/accession")

    send_all("before")
    if trouble:
        # A new version takes the key away: the one tenant is dropped.
        cluster.order("PATCH", "/-/configuration", {"upserts": {}, "removals": {
            "tenant_list": [{"name": "kapuluan", "config_version": "r2"}]}})
    time.sleep(CONFIG_APPLY_S + 2.0)
    send_all("after")

    ran = {event["id"]: event for server in cluster.servers for event in server.runs() if event["event"] == "run"}
    for ident, event in ran.items():
        record.line(f"run: {ident} {event['method']} {event['path']} at {event['server']}, tenant {event['tenant']}")
    never_held = [ident for ident, key in sent if key == "key-that-never-was" and ident in ran]
    dropped = [ident for ident, key in sent if key == "key-kapuluan" and ident.startswith("after") and ident in ran]
    record.line(f"ran with a key that no configuration ever held: {never_held}")
    if trouble:
        record.line(f"ran with the dropped key: {dropped}")
    return bool(never_held) or (trouble and bool(dropped))


run_case(case, FOLDER)
