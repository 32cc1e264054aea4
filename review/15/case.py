"""The machines of a new version are lost for good; its roll-out never ends, and the next one is refused."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from mesh import *  # noqa: E402,F403

DURATION_S = 12  # of the roll-out, as in the example of PROTOCOL.md
LOST_AFTER = 3.0  # seconds after the order at which the machines of the new version are lost
NEXT_AFTER = 20.0  # seconds after the deadline at which the next roll-out is ordered
TRIES_S = 20.0  # seconds for which the operator sends it again


async def main(record, trouble):
    mesh = Mesh(cores=3, sidecars=["desk"] * 8)
    tasks = []
    try:
        mesh.start()
        operator = Operator(mesh)
        await operator.put([route("read", "/read/", "desk")], [service("desk")])
        spare = mesh.sidecars[6:]  # machines that come with the third version
        first = [Instance(it) for it in mesh.sidecars[:4]]
        for it in first:
            await it.start()
        await all_ready(mesh)
        for it in spare:
            it.kill()
        await asyncio.sleep(3.5)

        async def client(machine):
            while True:
                await call(machine.addr("outbound"), "GET", "/read/x")
                await asyncio.sleep(0.03)

        for it in mesh.sidecars[:4]:
            tasks.append(asyncio.create_task(client(it)))
        await asyncio.sleep(2)
        second = [Instance(it, version="v2") for it in mesh.sidecars[4:6]]
        for it in second:
            await it.start()
        await asyncio.sleep(0.5)

        async def start(version):
            return await operator.order("POST", "/v1/Rollouts.Start",
                                        {"service": "desk", "target_version": version, "duration_s": DURATION_S}, 10.0)

        async def state():
            got = await operator.order("GET", "/v1/Rollouts.Get/desk", limit=5.0)
            return json.loads(got.body) if got and got.status == 200 else {}

        got = await start("v2")
        if not got or got.status != 200:
            raise CannotRun("the roll-out was not accepted")
        ordered = time.monotonic()
        record.say("the roll-out of v2 with %d s is acknowledged" % DURATION_S)
        await asyncio.sleep(LOST_AFTER)
        if trouble:
            for it in second:
                await it.end()
                it.machine.kill()
            record.say("%.1f s after the order both machines of v2 are lost for good" % (time.monotonic() - ordered))
        last = None
        while time.monotonic() < ordered + DURATION_S + NEXT_AFTER:
            now = await state()
            if now and now != last:
                record.say("%.1f s after the order: %s" % (time.monotonic() - ordered, now))
                last = now
                if now.get("state") == "completed":
                    for it in first:
                        await it.end()
            await asyncio.sleep(0.5)
        for it in spare:
            it.start()
        await asyncio.sleep(2)
        for it in spare:
            await Instance(it, version="v3").start()
        await asyncio.sleep(2)
        statuses = {}
        acknowledged = False
        end = time.monotonic() + TRIES_S
        while time.monotonic() < end and not acknowledged:
            got = await start("v3")
            statuses[got.status if got else 0] = statuses.get(got.status if got else 0, 0) + 1
            acknowledged = bool(got and got.status == 200)
            if got and not acknowledged:
                record.line("%.1f s after the order of v2, the order of v3: %d %s" % (
                    time.monotonic() - ordered, got.status, got.body.decode()))
            await asyncio.sleep(1)
        record.say("answers to the order of v3, %.1f s after the deadline of v2 and later: %s; state: %s" % (
            NEXT_AFTER, statuses, await state()))
        return acknowledged
    finally:
        for it in tasks:
            it.cancel()
        mesh.close()


run(main, __file__)
