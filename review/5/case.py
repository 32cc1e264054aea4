"""A node is restarted around the time at which the instance beside it leaves; one heartbeat of it arrives late."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from mesh import (BOUNDS, CannotRun, Client, Instance, Operator, call_once, config, is_ready, main, route, trouble,
                  wait_for)

SERVICE = "finder"
LATE_S = 2.5  # PROTOCOL.md: "A heartbeat may arrive seconds late."
SERVES_ON_S = 9  # PROTOCOL.md: it continues to serve for drain_ms and a little longer, "at times many seconds"
WORK_S = 0.1


async def send_steadily(client):
    while True:
        asyncio.create_task(client.send("POST", "/search/x", b"hi", quiet=True))
        await asyncio.sleep(0.03)


async def send_late_heartbeat(mesh, instance, body, made):
    await asyncio.sleep(max(0.5, made + LATE_S - mesh.record.now()))
    response = await call_once(instance.node.address("control"), "POST", "/v1/Instances.Heartbeat/" + instance.id, body,
                               [("Content-Type", "application/json")])
    mesh.record.write(f"heartbeat of {instance.id} arrives {mesh.record.now() - made:.1f} s late, answered "
                      f"{response.status}")


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

    leaving, beside = instances[0], nodes[0]
    # The last heartbeat before the instance leaves is under way for LATE_S.
    leaving.stop_beats()
    made, late = mesh.record.now(), leaving.heartbeat()
    if trouble():
        beside.signal(signal.SIGKILL)
        await asyncio.sleep(0.1)
        await wait_for(lambda: is_ready(beside), 10, "readiness after the restart")
        restarted = mesh.record.now()
    else:
        restarted = mesh.record.now() - 60
    acknowledged = await leaving.deregister()
    if acknowledged is None:
        raise CannotRun("the deregistration was not acknowledged")
    await send_late_heartbeat(mesh, leaving, late, made)
    await asyncio.sleep(max(0, acknowledged + SERVES_ON_S - mesh.record.now()))
    await leaving.exit()
    exited = mesh.record.now()
    await asyncio.sleep(1.5)

    in_touch = restarted + BOUNDS["contact_window_ms"] / 1000 + 0.5
    bound = max(acknowledged + BOUNDS["drain_ms"] / 1000, in_touch)
    sent = {request_id: at for it in senders for at, _, request_id, _ in it.results}
    late_runs = [at for at, request_id, _ in leaving.runs if at > bound and sent.get(request_id, 0) > bound]
    cut = [(at, status) for it in senders for at, _, _, status in it.results
           if exited - 2 * WORK_S <= at <= exited + 1 and status != 200]
    mesh.record.say(f"deregistration acknowledged at {acknowledged:.2f} s, the machine in touch again at "
                    f"{max(0, in_touch):.2f} s, the instance exits at {exited:.2f} s")
    mesh.record.say(f"requests sent and run there later than drain_ms after the acknowledgement, by machines in touch: "
                    f"{len(late_runs)}")
    mesh.record.say(f"requests around its exit that were not answered 200: {cut}")
    return not late_runs


main(case, __file__)
