"""A bad version is rolled back; the operator orders the next version while the bad instances still drain."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from mesh import BOUNDS, CannotRun, Client, Instance, Operator, config, is_ready, main, route, trouble, wait_for

SERVICE = "finder"
REQUESTS_PER_SECOND = 240
BAD_SHARE = 0.34  # of the answers of the bad version
DURATION_S = 8  # of the move to the bad version
WORK_S = 0.15
NEXT_ORDER_DELAY_S = 0.5  # after the operator has read rolled_back
DRAIN_DELAY_S = 4  # PROTOCOL.md: at rolled_back, the new instances drain some seconds later


async def start_version(mesh, version, bad_share=0.0):
    out = []
    for zone in ("z1", "z1", "z2", "z2"):
        node = await mesh.start_sidecar(zone, SERVICE)
        out.append(Instance(mesh, node, SERVICE, version=version, bad_share=bad_share, work_s=WORK_S))
        await out[-1].start()
    return out


async def start_rollout(operator, version, duration_s):
    body = json.dumps({"service": SERVICE, "target_version": version, "duration_s": duration_s}).encode()
    response, _ = await operator.order("POST", "/v1/Rollouts.Start", body, seconds=4, label="rollout to " + version)
    if response is None or response.status != 200:
        raise CannotRun(f"the rollout to {version} was not accepted")


async def rollout_state(operator):
    response, _ = await operator.order("GET", "/v1/Rollouts.Get/" + SERVICE, seconds=4, label="rollout state")
    return json.loads(response.body) if response and response.status == 200 else {}


async def send_steadily(client, clients):
    pending = set()
    while True:
        task = asyncio.create_task(client.send("GET", "/search/x", quiet=True))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(len(clients) / REQUESTS_PER_SECOND)


async def drain_and_exit(instances):
    await asyncio.sleep(DRAIN_DELAY_S)
    for it in instances:
        await it.drain()
    await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
    for it in instances:
        await it.exit()


async def case(mesh):
    core = await mesh.start_core(3)
    operator = Operator(mesh, core)
    document = json.dumps(config("r5", 0, [route("search", "/search/", SERVICE)], [SERVICE])).encode()
    response, _ = await operator.order("POST", "/v1/Config.Put", document, label="configuration r5")
    if response is None or response.status != 200:
        raise CannotRun("the first configuration was not accepted")
    old = await start_version(mesh, "v1")
    clients = [Client(mesh, it.node) for it in old]
    for it in old:
        await wait_for(lambda it=it: is_ready(it.node), 15, f"readiness of {it.node.name}")
    for client in clients:
        mesh.spawn(send_steadily(client, clients))
    await asyncio.sleep(BOUNDS["contact_window_ms"] / 1000 + 1)

    bad = await start_version(mesh, "v2", BAD_SHARE)
    ordered = mesh.record.now()
    await start_rollout(operator, "v2", DURATION_S)

    async def is_rolled_back():
        await asyncio.sleep(0.2)
        return (await rollout_state(operator)).get("state") == "rolled_back"

    await wait_for(is_rolled_back, DURATION_S + 2, "the roll-back of v2")
    rolled_back = mesh.record.now()
    draining = mesh.spawn(drain_and_exit(bad))
    await asyncio.sleep(NEXT_ORDER_DELAY_S)
    good = []
    if trouble():
        good = await start_version(mesh, "v3")
        await start_rollout(operator, "v3", 14)
    await draining
    await asyncio.sleep(1)

    deadline = ordered + DURATION_S
    def between(instances, since, until):
        return sum(since <= at < until for it in instances for at, _, _ in it.runs)
    total = between(old + bad + good, ordered, deadline)
    exposed = between(bad, ordered, deadline)
    allowed = BOUNDS["exposure_share"] * total + BOUNDS["exposure_slack"]
    mesh.record.say(f"v2 ordered at {ordered:.2f} s, rolled back at {rolled_back:.2f} s, deadline {deadline:.2f} s")
    mesh.record.say(f"runs on v2 before the roll-back: {between(bad, ordered, rolled_back)}, after it: "
                    f"{between(bad, rolled_back, 1e9)}")
    mesh.record.say(f"between the order and its deadline: {exposed} of {total} runs on v2; the rule allows {allowed:.0f}")
    failed = sum(status == 500 for client in clients for sent, _, _, status in client.results if sent >= rolled_back)
    mesh.record.say(f"requests sent after the roll-back and answered 500: {failed}")
    return exposed <= allowed


main(case, __file__)
