"""A heartbeat without `zone`, from another writer, names an instance that then reports draining."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from mesh import BOUNDS, CannotRun, Client, Instance, Operator, call_once, config, is_ready, main, route, trouble, wait_for

SERVICE = "finder"
SERVES_ON_S = 7  # PROTOCOL.md: drain_ms and a little longer, "at times many seconds"
WORK_S = 0.1


async def send_steadily(client):
    while True:
        asyncio.create_task(client.send("POST", "/search/x", b"hi", quiet=True))
        await asyncio.sleep(0.03)


async def send_foreign_heartbeat(mesh, instance):
    """A heartbeat that another writer made: `zone` is missing, and its sequence is a time."""
    fields = json.loads(instance.heartbeat("ready"))
    instance.sequence -= 1
    del fields["info"]["zone"]
    fields["status"]["sequence"] = int(time.time() * 1000)
    response = await call_once(instance.node.address("control"), "POST", "/v1/Instances.Heartbeat/" + instance.id,
                               json.dumps(fields).encode(), [("Content-Type", "application/json")])
    mesh.record.write(f"foreign heartbeat {json.dumps(fields)} answered {response.status}")


async def case(mesh):
    core = await mesh.start_core(3)
    operator = Operator(mesh, core)
    document = json.dumps(config(
        "r5", 0, [route("search", "/search/", SERVICE, kind="non_idempotent")], [SERVICE])).encode()
    response, _ = await operator.order("POST", "/v1/Config.Put", document, label="configuration r5")
    if response is None or response.status != 200:
        raise CannotRun("the first configuration was not accepted")
    nodes = [await mesh.start_sidecar(zone, SERVICE) for zone in ("z1", "z1", "z2")]
    instances = [Instance(mesh, node, SERVICE, work_s=WORK_S) for node in nodes]
    for it in instances:
        await it.start()
    for it in nodes:
        await wait_for(lambda it=it: is_ready(it), 15, f"readiness of {it.name}")
    senders = [Client(mesh, node) for node in nodes[1:]]
    for it in senders:
        mesh.spawn(send_steadily(it))
    await asyncio.sleep(BOUNDS["contact_window_ms"] / 1000 + 1)

    leaving = instances[0]
    if trouble():
        await send_foreign_heartbeat(mesh, leaving)
        await asyncio.sleep(0.5)
    acknowledged = await leaving.drain()
    if acknowledged is None:
        raise CannotRun("the state draining was not acknowledged")
    await asyncio.sleep(SERVES_ON_S)
    await leaving.deregister()
    await leaving.exit()
    exited = mesh.record.now()
    await asyncio.sleep(1.5)

    bound = acknowledged + BOUNDS["drain_ms"] / 1000
    sent = {request_id: at for it in senders for at, _, request_id, _ in it.results}
    late_runs = [at for at, request_id, _ in leaving.runs if at > bound and sent.get(request_id, 0) > bound]
    cut = [status for it in senders for at, _, _, status in it.results
           if exited - 2 * WORK_S <= at <= exited + 1 and status != 200]
    mesh.record.say(f"draining acknowledged at {acknowledged:.2f} s, the instance exits at {exited:.2f} s")
    mesh.record.say(f"requests sent and run there later than drain_ms after the acknowledgement: {len(late_runs)}")
    mesh.record.say(f"requests around its exit that were not answered 200: {cut}")
    return not late_runs


main(case, __file__)
