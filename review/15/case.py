"""A bad version is rolled back, and the next roll-out of its service starts before its instances have drained."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from mesh import *  # noqa: E402,F403

OLD, NEW = 4, 4  # instances of the old version; of each version that is brought in
DURATION_S = 12  # of a roll-out, as in the example of PROTOCOL.md
FAILING = 0.3  # share of the bad version's answers that are failures
DRAINS_AFTER = 5.0  # seconds after rolled_back is read; the page says "some seconds later"
NEXT_AFTER = 0.3  # seconds after rolled_back is read until the next roll-out is ordered
RATE = 25  # requests a second and machine


async def main(record, trouble):
    mesh = Mesh(cores=3, sidecars=["desk"] * (OLD + 2 * NEW))
    tasks, instances = [], []
    try:
        mesh.start()
        operator = Operator(mesh)
        await operator.put([route("read", "/read/", "desk")], [service("desk")])

        async def start_version(version, machines, answer=None):
            out = []
            for it in machines:
                out.append(Instance(it, version=version, answer=answer))
                await out[-1].start()
            instances.extend(out)
            return out

        await start_version("v1", mesh.sidecars[:OLD])
        await all_ready(mesh)
        await asyncio.sleep(3.5)
        sent = {}

        async def client(machine):
            while True:
                rid = new_id()
                sent[rid] = time.monotonic()
                tasks.append(asyncio.create_task(call(machine.addr("outbound"), "GET", "/read/x", rid=rid)))
                await asyncio.sleep(random.expovariate(RATE))

        for it in mesh.sidecars:
            tasks.append(asyncio.create_task(client(it)))
        await asyncio.sleep(3)

        async def state():
            got = await operator.order("GET", "/v1/Rollouts.Get/desk", limit=5.0)
            return json.loads(got.body) if got and got.status == 200 else {}

        bad = await start_version("v2", mesh.sidecars[OLD:OLD + NEW],
                                  lambda _: (500, b"") if random.random() < FAILING else (200, b"ok"))
        got = await operator.order("POST", "/v1/Rollouts.Start",
                                   {"service": "desk", "target_version": "v2", "duration_s": DURATION_S})
        if not got or got.status != 200:
            raise CannotRun("the roll-out was not accepted")
        ordered = time.monotonic()
        record.say("the roll-out of v2, which fails three requests of ten, is acknowledged")

        async def rolled_back():
            return (await state()).get("state") == "rolled_back"

        if not await wait_for(rolled_back, DURATION_S, 0.2):
            raise CannotRun("the bad version was not rolled back in time")
        back = time.monotonic()

        def arrivals(version, begin, end):
            return sum(1 for it in instances if it.version == version for at, *_ in it.arrivals if begin <= at < end)

        record.say("rolled_back is read %.1f s after the order; v2 has got %d requests" % (
            back - ordered, arrivals("v2", ordered, back)))
        if trouble:
            await asyncio.sleep(NEXT_AFTER)
            await start_version("v3", mesh.sidecars[OLD + NEW:])
            got = await operator.order("POST", "/v1/Rollouts.Start",
                                       {"service": "desk", "target_version": "v3", "duration_s": DURATION_S})
            record.say("%.1f s later the roll-out of v3, which is sound, is ordered: %s" % (
                time.monotonic() - back, got and got.status))
        await asyncio.sleep(max(0.0, back + DRAINS_AFTER - time.monotonic()))
        for it in bad:
            await it.say_draining()
        record.say("%.1f s after rolled_back the instances of v2 drain" % (time.monotonic() - back))
        await asyncio.sleep(max(0.0, ordered + DURATION_S - time.monotonic()))
        deadline = ordered + DURATION_S
        of_bad = arrivals("v2", ordered, deadline)
        of_all = sum(arrivals(it, ordered, deadline) for it in ("v1", "v2", "v3"))
        for second in range(DURATION_S):
            record.line("second %2d after the order: v1 %d, v2 %d, v3 %d requests" % (second, *[
                arrivals(it, ordered + second, ordered + second + 1) for it in ("v1", "v2", "v3")]))
        after = arrivals("v2", back + 0.5, deadline)
        allowed = mesh.bounds["exposure_share"] * of_all + mesh.bounds["exposure_slack"]
        record.say("between the order of v2 and its deadline v2 got %d of %d requests, %d of them later than 0.5 s "
                   "after rolled_back was read; allowed: %.0f" % (of_bad, of_all, after, allowed))
        return of_bad <= allowed
    finally:
        for it in tasks:
            it.cancel()
        mesh.close()


run(main, __file__)
