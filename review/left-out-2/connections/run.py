"""Many clients of one machine read their answers slowly. The node beside them must go on taking new connections."""
import asyncio
import os
import resource
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-2"))
import mesh as m

CONTACT_WINDOW_S = 3.0
OTHER_CLIENTS = 10  # seven clients or more try
ANSWER_BYTES = 4000
RESPONSE_BYTES = ANSWER_BYTES + 190  # with its head
LEFT_BYTES = 15000  # of the answers to a slow client, that the node still holds when the kernel takes no more
READ_BYTES_PER_S = 200
PLAY_S = 14
# A connection that is open for so long without an answer counts as taken too.
TAKEN_AFTER_S = 1.0


class Attempts:
    """New connections to the node: when each was begun, by whom, and whether the node took it."""

    def __init__(self):
        self.list = []

    def longest_refusal(self):
        """Returns the longest time in which the node took none while seven clients or more tried, in seconds."""
        longest, begin, clients = 0.0, None, set()
        for at, client, taken in sorted(self.list):
            if taken:
                begin, clients = None, set()
                continue
            begin = at if begin is None else begin
            clients.add(client)
            if len(clients) >= 7:
                longest = max(longest, at - begin)
        return longest


async def read_slowly(front, n, attempts, requests):
    """A client that sends idempotent requests one behind the other and reads the answers slowly."""
    loop = asyncio.get_running_loop()
    while True:
        s, at = None, time.monotonic()
        try:
            s = m.slow_socket(front.address("outbound"), 2048)
            for _ in range(requests):
                await loop.sock_sendall(s, m.request_bytes("GET", "/list/%d" % n, "shop.example",
                    {"X-Request-Id": m.request_id(), "X-Deadline-Ms": "15000"}))
            while True:
                got = await loop.sock_recv(s, 1024)
                if not got:
                    break
                if at:
                    attempts.list.append((at, "slow %d" % n, True))
                    at = None
                await asyncio.sleep(len(got) / READ_BYTES_PER_S)
        except OSError:
            pass
        finally:
            if s:
                s.close()
        if at:
            attempts.list.append((at, "slow %d" % n, time.monotonic() - at >= TAKEN_AFTER_S))
        await asyncio.sleep(0.5)


async def call_now_and_then(front, n, attempts, began, ends):
    """An ordinary client: each request on a new connection."""
    while True:
        at = time.monotonic()
        try:
            status, _, _ = await m.call(front.address("outbound"), "GET", "/short/1", b"", 3, "shop.example",
                                        {"X-Request-Id": m.request_id(), "X-Deadline-Ms": "3000"})
            end = str(status)
        except asyncio.TimeoutError:
            end = "no answer in 3 s"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            end = "connection closed without an answer"
        second = ends.setdefault(int(at - began), {})
        second[end] = second.get(end, 0) + 1
        attempts.list.append((at, "ordinary %d" % n, end.isdigit() or time.monotonic() - at >= TAKEN_AFTER_S))
        await asyncio.sleep(0.1)


async def ask_ready(front, answers):
    while True:
        try:
            status, _, _ = await m.call(front.address("ready"), "GET", "/v1/readyz", b"", 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status = 0
        answers.append(status)
        await asyncio.sleep(1)


async def play(record, trouble):
    mesh = m.Mesh(slots=50)
    for n in range(3):
        mesh.control(n)
    front = mesh.node(0, "checkout")
    for n in range(6):
        mesh.node(1 + n, "catalogue")
    # A node takes as many connections of callers as half of its descriptors, which it has from this process.
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    slow = min(4096, descriptors // 2) + 50
    if slow + 500 > descriptors:
        raise m.CannotRun("too few descriptors")
    # Sent by a slow client before it has read the first answer.
    requests = (m.absorbed_bytes() + LEFT_BYTES) // RESPONSE_BYTES + 1
    record.line("%d requests of each slow client" % requests)
    try:
        await mesh.start()
        mesh.start_instances_apart(mesh.nodes, {"list": ANSWER_BYTES}, work_s=0.001)
        await mesh.put_config(
            [m.route("r-list", "/list/", "idempotent", "catalogue", 15000),
             m.route("r-short", "/short/", "idempotent", "catalogue", 3000)],
            [m.service("catalogue"), m.service("checkout")])
        await mesh.wait_ready()
        await asyncio.sleep(4)
        attempts, ready, ends, began = Attempts(), [], {}, time.monotonic()
        mesh.tasks.append(asyncio.ensure_future(ask_ready(front, ready)))
        for n in range(OTHER_CLIENTS):
            mesh.tasks.append(asyncio.ensure_future(call_now_and_then(front, n, attempts, began, ends)))
        await asyncio.sleep(3)
        for n in range(slow if trouble else 0):
            mesh.tasks.append(asyncio.ensure_future(read_slowly(front, n, attempts, requests)))
            if n % 20 == 0:
                await asyncio.sleep(0.02)
        await asyncio.sleep(PLAY_S if trouble else 10)
        for second, count in sorted(ends.items()):
            record.line("second %d, ordinary clients: %s" % (second, count))
        longest = attempts.longest_refusal()
        record.line("%d slow clients; ready answers: %s" % (slow if trouble else 0, ready))
        record.line("the node used %d MB at most" % (front.peak_kb // 1024))
        record.line("longest time in which no new connection was taken: %.2f s" % longest)
        if any(it != 200 for it in ready):
            record.line("the node was not always ready; times in which it was not are excused")
            return True
        return longest < CONTACT_WINDOW_S
    finally:
        mesh.stop()


m.run_case(HERE, play)
