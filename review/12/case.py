"""Clients that send further idempotent requests before the first answer, and read their answers slowly."""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from mesh import *  # noqa: E402,F403

MEMORY_MB = 260  # SYSTEM.md: a sidecar machine of both first deployments
CLIENTS = 1900
REQUESTS = 115  # that one client sends, while it has read a few answers
ANSWER = b"x" * 4096
SECONDS = 24  # in which a client sends its requests
READ_BYTES = 4096  # that a client reads at once
READ_PERIOD = 1  # seconds between
INSTANCES = 8


class Client:
    """Sends a request about five times a second, whether or not its answers have been read."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        # As on a network link; with the segments of the loopback device the kernel alone holds megabytes.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        self.socket.settimeout(2)
        self.socket.connect((host, int(port)))
        self.socket.setblocking(False)
        self.sent = self.read = 0
        self.closed = False

    def send(self):
        if self.closed or self.sent >= REQUESTS:
            return
        request = ("GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n"
                   % new_id()).encode()
        try:
            if self.socket.send(request) == len(request):
                self.sent += 1
        except BlockingIOError:
            pass
        except OSError:
            self.closed = True

    def read_some(self, n):
        if self.closed:
            return
        try:
            got = self.socket.recv(n)
            self.closed = not got
            self.read += len(got)
        except BlockingIOError:
            pass
        except OSError:
            self.closed = True


async def main(record, trouble):
    mesh = Mesh(cores=3, sidecars=["reader"] * INSTANCES)
    instances = InstanceProcesses()
    clients = []
    try:
        mesh.start()
        await Operator(mesh).put([route("read", "/read/", "reader")], [service("reader")])
        for machine in mesh.sidecars:
            instances.start(lambda machine=machine: Instance(machine, work_ms=1, answer=lambda _: (200, ANSWER)))
        await all_ready(mesh)
        await asyncio.sleep(3)
        front = mesh.sidecars[0]
        record.say("%s has used at most %.0f MB before the clients come" % (front.name, front.process.peak_mb()))
        for i in range(CLIENTS):
            clients.append(Client(front.addr("outbound")))
            if i % 50 == 0:
                await asyncio.sleep(0.01)
        answered = failed = 0
        over = None
        end = time.monotonic() + SECONDS + 6
        last = 0
        step = SECONDS / REQUESTS
        read_due = time.monotonic() + READ_PERIOD
        while time.monotonic() < end and not over:
            began = time.monotonic()
            for i, it in enumerate(clients):
                it.send()
                if not trouble:
                    it.read_some(1 << 20)
                elif began >= read_due:
                    it.read_some(READ_BYTES)
                if i % 100 == 0:
                    await asyncio.sleep(step / 40)
            read_due = read_due + READ_PERIOD if began >= read_due else read_due
            _, got = await call(front.addr("outbound"), "GET", "/read/ordinary")
            answered += bool(got and got.status == 200)
            failed += not (got and got.status == 200)
            peak = {it.name: it.process.peak_mb() for it in mesh.machines()}
            if began - last > 2:
                last = began
                record.line("sent %d requests, %d clients closed, %s at %.0f MB" % (
                    sum(it.sent for it in clients), sum(it.closed for it in clients), front.name, peak[front.name]))
            for machine in mesh.sidecars:
                if peak[machine.name] > MEMORY_MB or machine.process.ended:
                    over = machine
            await asyncio.sleep(max(0.0, step - (time.monotonic() - began)))
        record.say("clients sent %d requests and read %d bytes; %d of them were closed" % (
            sum(it.sent for it in clients), sum(it.read for it in clients), sum(it.closed for it in clients)))
        record.say("peak memory, MB: %s" % ", ".join(
            "%s %.0f" % (it.name, it.process.peak_mb()) for it in mesh.machines()))
        record.say("ordinary calls: %d answered, %d not" % (answered, failed))
        if over:
            over.kill()
            record.say("%s used more than the %d MB of its machine; the platform kills it" % (over.name, MEMORY_MB))
            _, got = await call(front.addr("outbound"), "GET", "/read/ordinary")
            record.say("the next ordinary call: %s" % ("answered" if got else "no answer"))
            return False
        if not trouble and failed > answered / 10:
            raise CannotRun("too many ordinary calls failed")
        return True
    finally:
        for it in clients:
            it.socket.close()
        instances.close()
        mesh.close()


run(main, __file__)
