"""Clients of two machines send requests one behind the other and read the answers slowly. Two nodes must stay within
the memory of their machines. The platform ends a process that takes more than memory_mb and starts it again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-2"))
import mesh as m
from pressure import Platform, ordinary_callers

MEMORY_MB = 160  # limits.memory_mb of a sidecar in the site file
FRONTS = 2  # two machines, or a tenth of those in use
BACKENDS = 6
ANSWER_BYTES = 4000  # less than the 5,000 that `place-order` of the site file takes on average
CLIENTS = 1400  # of one machine after the other; a node takes 2,050 connections with the 4,100 descriptors of the pages
REQUESTS = 64  # of a client, sent before the first answer has been read
READ_BYTES_PER_S = 1000
STAY_S = 7
PLAY_S = 46


async def read_slowly(front, n):
    """A client that sends idempotent requests one behind the other and reads the answers slowly."""
    loop = asyncio.get_running_loop()
    s = None
    try:
        s = m.slow_socket(front.address("outbound"), 2048)
        for _ in range(REQUESTS):
            await loop.sock_sendall(s, m.request_bytes("GET", "/list/%d" % n, "shop.example",
                {"X-Request-Id": m.request_id(), "X-Deadline-Ms": "15000"}))
            await asyncio.sleep(0.02)
        while True:
            got = await loop.sock_recv(s, 1024)
            if not got:
                return
            await asyncio.sleep(len(got) / READ_BYTES_PER_S)
    except OSError:
        pass
    finally:
        if s:
            s.close()


async def come_and_go(front):
    """Clients that come one after the other and leave some seconds later; then others come."""
    while True:
        clients = []
        try:
            for n in range(CLIENTS):
                clients.append(asyncio.ensure_future(read_slowly(front, n)))
                if n % 20 == 0:
                    await asyncio.sleep(0.05)
            await asyncio.sleep(STAY_S)
        finally:
            for it in clients:
                it.cancel()


async def play(record, trouble):
    mesh = m.Mesh(slots=50)
    for n in range(3):
        mesh.control(n)
    fronts = [mesh.node(n, "checkout") for n in range(FRONTS)]
    for n in range(BACKENDS):
        mesh.node(FRONTS + n, "catalogue")
    try:
        await mesh.start()
        mesh.start_instances_apart(mesh.nodes, {"list": ANSWER_BYTES}, work_s=0.001)
        await mesh.put_config(
            [m.route("r-list", "/list/", "idempotent", "catalogue", 15000),
             m.route("r-short", "/short/", "idempotent", "catalogue", 3000)],
            [m.service("catalogue"), m.service("checkout")])
        await mesh.wait_ready()
        await asyncio.sleep(3)
        platform = Platform(record, mesh, MEMORY_MB)
        mesh.tasks.append(asyncio.ensure_future(platform.watch()))
        callers = ordinary_callers(record, mesh, fronts)
        for n, front in enumerate(fronts):
            clients = asyncio.ensure_future(come_and_go(front)) if trouble else None
            await platform.until_over(n + 1, PLAY_S if trouble else 10)
            if clients:
                clients.cancel()
        callers.report()
        return platform.report(FRONTS)
    finally:
        mesh.stop()


m.run_case(HERE, play)
