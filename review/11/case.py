"""An instance runs requests that may run once, and answers some of them with a 503 that bears its stamp."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from mesh import *  # noqa: E402,F403

INSTANCES = 8
FAILING = 0.45  # share of the requests that the grey instance fails, as srv_grey in the site file
GREY_S = 6.5  # seconds for which it does, as there
CLIENTS = 16
RETRIES = 2  # of a client, after a promise


class GreyInstance(Instance):
    """Fails a part of its requests after it has run them: its store has taken the record, but answers too late."""

    grey = False

    async def reply(self, writer, status, headers, data):
        if self.grey and "X-Server-Stamp" in headers and random.random() < FAILING:
            status, data = 503, b"the store does not answer"
        await Instance.reply(self, writer, status, headers, data)


async def main(record, trouble):
    mesh = Mesh(cores=3, sidecars=["desk"] * INSTANCES)
    try:
        mesh.start()
        await Operator(mesh).put([route("save", "/save/", "desk", kind="non_idempotent", timeout_ms=4000)],
                                 [service("desk")])
        instances = [GreyInstance(it) for it in mesh.sidecars]
        for it in instances:
            await it.start()
        await all_ready(mesh)
        await asyncio.sleep(3.5)
        stop = time.monotonic() + GREY_S + 1
        answers = {}  # request id: status
        attempts = {}  # list that is saved: ids of the attempts

        async def client(number):
            while time.monotonic() < stop:
                saved = "list-%s" % new_id()
                for _ in range(1 + RETRIES):
                    machine = random.choice(mesh.sidecars)
                    rid, got = await call(machine.addr("outbound"), "POST", "/save/" + saved, saved.encode(),
                                          deadline_ms=4000)
                    answers[rid] = got.status if got else 0
                    attempts.setdefault(saved, []).append(rid)
                    # A request that may run once is sent again only after a promise that it has not run.
                    if not got or got.status not in (429, 503):
                        break
                    await asyncio.sleep(float(got.header("retry-after") or 0.1))
                await asyncio.sleep(0.05)

        clients = [asyncio.create_task(client(i)) for i in range(CLIENTS)]
        if trouble:
            instances[0].grey = True
            record.say("instance %s turns grey" % instances[0].id)
        await asyncio.sleep(GREY_S)
        instances[0].grey = False
        await asyncio.gather(*clients)
        runs = {}
        for it in instances:
            for _, rid, _, path in it.runs:
                runs.setdefault(rid, []).append((it.id, path))
        refused = {rid: status for rid, status in answers.items() if status in (408, 421, 429, 503)}
        broken = [rid for rid in refused if rid in runs]
        twice = [it for it, ids in attempts.items() if sum(len(runs.get(rid, [])) for rid in ids) > 1]
        for rid in broken[:20]:
            record.line("request %s is answered %d and has run at %s (%s)" % (rid, refused[rid], *runs[rid][0]))
        for it in twice[:10]:
            record.line("%s was saved %d times, by the attempts %s" % (
                it, sum(len(runs.get(rid, [])) for rid in attempts[it]), ", ".join(attempts[it])))
        counts = {}
        for it in answers.values():
            counts[it] = counts.get(it, 0) + 1
        record.say("answers by status: %s" % dict(sorted(counts.items())))
        record.say("requests answered 408, 421, 429 or 503: %d; of these have run: %d; lists saved more than once: %d of %d"
                   % (len(refused), len(broken), len(twice), len(attempts)))
        if counts.get(200, 0) < 100:
            raise CannotRun("too few requests were served")
        return not broken
    finally:
        mesh.close()


run(main, __file__)
