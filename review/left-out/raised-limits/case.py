"""An operator raises max_body_bytes while clients keep their connections open."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from mesh import BOUNDS, CannotRun, Client, Instance, Operator, config, is_ready, main, route, trouble, wait_for

KEPT_CONNECTIONS = 40
SMALL_LIMIT, LARGE_LIMIT = 64 * 1024, 1024 * 1024
BODY = b"x" * (200 * 1024)
OWN_REFUSALS = range(300, 500)
NOT_COUNTED = (408, 421, 429)


async def put(operator, version, base, limit):
    routes = [route("list", "/lists/", "finder", kind="non_idempotent", timeout_ms=3000)]
    document = json.dumps(config(version, base, routes, ["finder"], {"max_body_bytes": limit})).encode()
    response, _ = await operator.order("POST", "/v1/Config.Put", document, label="configuration " + version)
    if response is None or response.status != 200:
        raise CannotRun(f"configuration {version} was not accepted")


async def case(mesh):
    core = await mesh.start_core(3)
    operator = Operator(mesh, core)
    await put(operator, "r5", 0, SMALL_LIMIT if trouble() else LARGE_LIMIT)
    nodes = [await mesh.start_sidecar(zone, "finder") for zone in ("z1", "z2")]
    instances = [Instance(mesh, node, "finder") for node in nodes]
    for it in instances:
        await it.start()
    for it in nodes:
        await wait_for(lambda it=it: is_ready(it), 15, f"readiness of {it.name}")
    client = Client(mesh, nodes[0])

    async def is_served():
        return (await client.send("POST", "/lists/first", b"hi"))[1] == 200

    await wait_for(is_served, 15, "the first answer")
    await asyncio.sleep(BOUNDS["contact_window_ms"] / 1000 + 1)
    client.results.clear()
    kept = [await client.connect() for _ in range(KEPT_CONNECTIONS)]
    for connection in kept:
        await client.send("POST", "/lists/small", b"hi", label="kept,", connection=connection)
    if trouble():
        await put(operator, "r7", "r5", LARGE_LIMIT)
    # Longer than config_apply_ms after the acknowledgement, and well below four fifths of idle_timeout_ms.
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 1)
    statuses = {"kept": [], "new": []}
    for connection in kept:
        statuses["kept"].append((await client.send("POST", "/lists/large", BODY, label="kept,", connection=connection))[1])
        statuses["new"].append((await client.send("POST", "/lists/large", BODY, label="new,"))[1])
    answers = [status for _, _, _, status in client.results]
    denied = sum(status in OWN_REFUSALS and status not in NOT_COUNTED for status in answers if status)
    allowed = 5 + len(answers) / 500
    for name, all_of in statuses.items():
        mesh.record.say(f"{len(BODY)} bytes on {name} connections: "
                        + ", ".join(f"{all_of.count(s)} x {s}" for s in sorted(set(all_of), key=str)))
    mesh.record.say(f"refused with a 4xx: {denied} of {len(answers)} requests; the rule allows {allowed:.1f}")
    return denied <= allowed


main(case, __file__)
