"""An instance deregisters, all processes are killed and start again, and a heartbeat from before arrives late."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from mesh import *  # noqa: E402,F403

KILL_AFTER = 0.3  # seconds after the acknowledgement of the departure
DOWN = 0.7  # seconds until the processes start again
BEAT_LATE = 4.0  # seconds that the last heartbeat is late
SERVES_ON = 14.0  # seconds that the instance serves after the acknowledgement
IN_TOUCH_AFTER = 6.0  # twice contact_window_ms after the processes are back


async def main(record, trouble):
    mesh = Mesh(cores=4, sidecars=["desk"] * 6)
    tasks = []
    try:
        mesh.start()
        await Operator(mesh).put([route("read", "/read/", "desk")], [service("desk")])
        instances = [Instance(it) for it in mesh.sidecars]
        for it in instances:
            await it.start()
        await all_ready(mesh)
        await asyncio.sleep(3)
        sent = {}  # request id: (time, machine, status)

        async def client(machine):
            while True:
                rid = new_id()
                sent[rid] = began = time.monotonic()
                _, got = await call(machine.addr("outbound"), "GET", "/read/x", rid=rid)
                statuses[got.status if got else 0] = statuses.get(got.status if got else 0, 0) + 1
                await asyncio.sleep(max(0.0, 0.05 - (time.monotonic() - began)))

        statuses = {}
        for machine in mesh.sidecars:
            tasks.append(asyncio.create_task(client(machine)))
        await asyncio.sleep(3)
        leaver = random.choice(instances)
        late_beat = json.dumps(leaver.beat_body()).encode()  # the heartbeat that is under way while it leaves
        leaver.beats.cancel()
        beat_sent = time.monotonic()
        await asyncio.sleep(0.1)
        if not await wait_for(leaver.deregister, 5.0):
            raise CannotRun("the departure was not acknowledged")
        left = time.monotonic()
        record.say("instance %s at %s: its Deregister is acknowledged" % (leaver.id, leaver.machine.name))
        back = left
        if trouble:
            await asyncio.sleep(KILL_AFTER)
            for it in mesh.machines():
                it.process.signal(signal.SIGKILL)
            for it in mesh.machines():
                it.process.popen.wait()
            record.say("%.1f s later all processes are killed" % (time.monotonic() - left))
            await asyncio.sleep(DOWN)
            mesh.start()
            back = time.monotonic()
            record.say("%.1f s after the acknowledgement they start again" % (back - left))
        await asyncio.sleep(max(0.0, beat_sent + BEAT_LATE - time.monotonic()))
        got = await send_request(leaver.machine.addr("control"), "POST", "/v1/Instances.Heartbeat/" + leaver.id,
                                 {"Content-Type": "application/json"}, late_beat, 1.0)
        record.say("%.1f s after the acknowledgement the heartbeat from before it arrives, %.1f s late: %s" % (
            time.monotonic() - left, time.monotonic() - beat_sent, got.status if got else "no answer"))
        await asyncio.sleep(max(0.0, left + SERVES_ON - time.monotonic()))
        await leaver.end()
        record.say("%.1f s after the acknowledgement the instance ends" % (time.monotonic() - left))
        await asyncio.sleep(0.5)
        drain = mesh.bounds["drain_ms"] / 1000
        counted_from = max(left + drain, back + IN_TOUCH_AFTER)
        late = [it for it in leaver.arrivals if it[0] > left + drain]
        broken = [it for it in late if it[0] > counted_from and sent.get(it[1], 0) > counted_from]
        for at, rid, _, path, _ in broken[:20]:
            record.line("request %s for %s, sent %.2f s after the acknowledgement, reaches %s %.2f s after it" % (
                rid, path, sent[rid] - left, leaver.id, at - left))
        record.say("answers to clients by status (0: none): %s" % dict(sorted(statuses.items())))
        record.say("requests that reach the instance later than drain_ms after the acknowledgement: %d; of these sent "
                   "and passed on by machines in touch: %d" % (len(late), len(broken)))
        if not statuses.get(200):
            raise CannotRun("no request was served")
        return not broken
    finally:
        for it in tasks:
            it.cancel()
        mesh.close()


run(main, __file__)
