"""Many clients send the head of a request and a part of its body, and then nothing."""

import asyncio
import os
import resource
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins-3"))
from mesh import *  # noqa: E402,F403

MACHINE_DESCRIPTORS = 4100  # SYSTEM.md: of a sidecar machine
SECONDS = 24
CALLERS = 10  # ordinary clients that try new connections; the rule asks for seven or more


async def main(record, trouble):
    mesh = Mesh(cores=3, sidecars=["desk"] * 2)
    crowd, tasks = [], []
    try:
        mesh.start()
        await Operator(mesh).put([route("save", "/save/", "desk", kind="non_idempotent"), route("read", "/read/", "desk")],
                                 [service("desk")])
        instances = [Instance(it) for it in mesh.sidecars]
        for it in instances:
            await it.start()
        await all_ready(mesh)
        await asyncio.sleep(3.5)
        front = mesh.sidecars[0]
        host, port = front.ip, mesh.ports["outbound"]
        # As many clients as the machine has descriptors for, and not more than this process may open.
        clients = min(MACHINE_DESCRIPTORS + 100, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 200)
        part = b"POST /save/x HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 4000\r\nContent-Length: 1000\r\n"
        loop = asyncio.get_running_loop()
        opened = [0]

        async def one_of_the_crowd():
            while True:
                s = socket.socket()
                s.setblocking(False)
                crowd.append(s)
                try:
                    await asyncio.wait_for(loop.sock_connect(s, (host, port)), 2)
                    opened[0] += 1
                    if trouble:
                        await loop.sock_sendall(s, part + b"X-Request-Id: " + new_id().encode() + b"\r\n\r\npart")
                    while await loop.sock_recv(s, 4096):
                        pass
                except (OSError, asyncio.TimeoutError):
                    pass
                crowd.remove(s)
                s.close()
                # Those that were turned away try again after a while, as other clients do.
                await asyncio.sleep(1)

        answered = []  # times at which a new connection of an ordinary client was taken and answered
        tries = [0]

        async def caller():
            while True:
                tries[0] += 1
                _, got = await call(front.addr("outbound"), "GET", "/read/x", deadline_ms=1000)
                if got and got.status == 200:
                    answered.append(time.monotonic())
                await asyncio.sleep(0.25)

        unready = [0]

        async def ready_check():
            while True:
                got = await send_request(front.addr("ready"), "GET", "/v1/readyz", timeout=1.0)
                unready[0] += not (got and got.status == 200)
                await asyncio.sleep(1)

        for _ in range(CALLERS):
            tasks.append(asyncio.create_task(caller()))
        tasks.append(asyncio.create_task(ready_check()))
        await asyncio.sleep(2)
        before = len(answered)
        record.say("in 2 s before the crowd %d of %d tries of %d ordinary clients are answered" % (
            before, tries[0], CALLERS))
        began = time.monotonic()
        for i in range(clients):
            tasks.append(asyncio.create_task(one_of_the_crowd()))
            if i % 100 == 0:
                await asyncio.sleep(0.02)
        record.say("%d clients are there after %.1f s, %d connections of theirs are open" % (
            clients, time.monotonic() - began, len(crowd)))
        await asyncio.sleep(max(0.0, began + SECONDS - time.monotonic()))
        end = time.monotonic()
        times = [began] + [it for it in answered if it >= began] + [end]
        gaps = sorted(((b - a, a - began) for a, b in zip(times, times[1:])), reverse=True)
        window = mesh.bounds["contact_window_ms"] / 1000
        record.say("during the crowd: %d tries answered, %d connections of the crowd opened in all, %d ready checks "
                   "failed, %s" % (len(times) - 2, opened[0], unready[0],
                                   "the process has ended" if front.process.ended else "the process runs"))
        for length, at in gaps[:5]:
            record.line("no new connection was answered for %.2f s from %.2f s on" % (length, at))
        record.say("longest time without an answered new connection: %.2f s; allowed: below %.1f s" % (gaps[0][0], window))
        if before < CALLERS:
            raise CannotRun("ordinary clients were not served before the crowd came")
        return gaps[0][0] < window or unready[0] > 2
    finally:
        for it in tasks:
            it.cancel()
        await asyncio.sleep(0.1)
        for it in crowd:
            it.close()
        mesh.close()


run(main, __file__)
