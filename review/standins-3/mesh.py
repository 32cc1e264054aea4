"""Starts the programs of the deploy file on loopback addresses, and stand-ins of the platform, the operator, instances
and clients that follow the users' pages. Everything ends when the Mesh is closed."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 60,
    "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 15,
}


def lookup(fields, path):
    out = fields
    for part in path.split("."):
        if isinstance(out, list):
            out = out[int(part)] if int(part) < len(out) else None
        else:
            out = out.get(part) if isinstance(out, dict) else None
        if out is None:
            return None
    return out


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes: values and sections that are true or present."""
    def section(match):
        value = lookup(fields, match.group(1))
        return match.group(2) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)

    def value(match):
        path, as_json = match.group(1), match.group(2)
        out = lookup(fields, path)
        if as_json:
            return json.dumps(out)
        if out is None:
            return ""
        if isinstance(out, bool):
            return "true" if out else "false"
        return str(out)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def free_network():
    """A loopback network of this run, on which the ports in use are free."""
    while True:
        prefix = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            s = socket.socket()
            s.bind((prefix + ".1", 7300))
            s.close()
            return prefix
        except OSError:
            continue


class Process:
    def __init__(self, name, command, log):
        self.name = name
        self.popen = subprocess.Popen(
            command, cwd=REPO, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C"})

    def signal(self, number):
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    @property
    def ended(self):
        return self.popen.poll() is not None

    def peak_mb(self):
        """The most memory that the process has had resident since its start, in MiB."""
        try:
            with open("/proc/%d/status" % self.popen.pid) as f:
                for line in f:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except (OSError, IndexError, ValueError):
            pass
        return 0.0


class Machine:
    def __init__(self, mesh, kind, index, zone, service=None):
        self.mesh, self.kind, self.index, self.zone, self.service = mesh, kind, index, zone, service
        self.ip = "%s.%d" % (mesh.network, (10 if kind == "core" else 50) + index)
        self.name = "%s-%d" % ("core" if kind == "core" else "sidecar", index)
        self.folder = os.path.join(mesh.folder, self.name)
        os.makedirs(self.folder)
        self.data = os.path.join(self.folder, "data")
        self.process = None
        self.starts = 0
        self.first = True

    def addr(self, what):
        return "%s:%d" % (self.ip, self.mesh.ports[what])

    def fields(self):
        mesh = self.mesh
        core = self.kind == "core"
        listen = {"control": self.addr("control")}
        if not core:
            listen.update(inbound=self.addr("inbound"), outbound=self.addr("outbound"), ready=self.addr("ready"))
        return {
            "node_name": self.name, "role": self.kind, "machine_class": self.kind, "ip": self.ip, "zone": self.zone,
            "region": "r", "zones": {z: "r" for z in mesh.zones}, "listen_addrs": listen,
            "port_range": [mesh.ports["range"], mesh.ports["range"] + 15],
            "seeds": ["%s:%d" % (m.ip, mesh.ports["control"]) for m in mesh.cores[:3]],
            "is_first_start": self.first and mesh.first_start, "is_counted": core,
            "data_dir": self.data if core else None,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": mesh.bounds,
            "app_addr": self.addr("app") if not core else None, "service": self.service,
        }

    def start(self):
        template = os.path.join(REPO, "platform", "control.yaml" if self.kind == "core" else "node.yaml")
        settings = os.path.join(self.folder, "local.yaml")
        with open(template) as f:
            text = render(f.read(), self.fields())
        with open(settings, "w") as f:
            f.write(text)
        if self.kind == "core":
            os.makedirs(self.data, exist_ok=True)
        program = "pomelowind-control" if self.kind == "core" else "pomelowind-node"
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = Process(self.name, ["target/bin/" + program, "--settings=" + settings], log)
        log.close()
        self.first = False
        self.starts += 1

    def kill(self):
        self.process.kill()

    def stop(self):
        self.process.signal(signal.SIGSTOP)

    def resume(self):
        self.process.signal(signal.SIGCONT)


class Mesh:
    def __init__(self, cores=4, sidecars=(), zones=("z-a", "z-b", "z-c", "z-d"), bounds=None):
        for program in ("pomelowind-control", "pomelowind-node"):
            if not os.path.exists(os.path.join(REPO, "target", "bin", program)):
                raise CannotRun("target/bin/%s is missing; run the build of the deploy file" % program)
        self.folder = tempfile.mkdtemp(prefix="pomelowind-review-")
        self.network = free_network()
        self.zones = list(zones)
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.ports = {"control": 8144, "app": 8145, "inbound": 8146, "outbound": 8147, "ready": 8141, "range": 7380}
        self.first_start = True
        self.cores = []
        for i in range(cores):
            self.cores.append(Machine(self, "core", i, self.zones[i % len(self.zones)]))
        self.sidecars = []
        for service in sidecars:
            i = len(self.sidecars)
            self.sidecars.append(Machine(self, "sidecar", i, self.zones[i % len(self.zones)], service))

    def machines(self):
        return self.cores + self.sidecars

    def start(self):
        for it in self.machines():
            it.start()

    def close(self):
        for it in self.machines():
            if it.process and not it.process.ended:
                it.process.signal(signal.SIGCONT)
                it.process.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


# ---- HTTP ----

class Answer:
    def __init__(self, status, headers, body, whole=True):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            out += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return out
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def send_request(address, method, path, headers=None, body=b"", timeout=5.0):
    """One request on a connection of its own. Returns an Answer, or None when there is no complete one in time."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = ["%s %s HTTP/1.1" % (method, path)]
            fields = dict(headers or {})
            fields.setdefault("Host", address)
            if body or method in ("POST", "PUT"):
                fields["Content-Length"] = str(len(body))
            lines += ["%s: %s" % it for it in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            start, got = await read_head(reader)
            return Answer(int(start.split()[1]), got, await read_body(reader, got))
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer:
            writer.close()


class Operator:
    """Sends an order to one core after the other until it gets a clear answer."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.version = 0

    async def order(self, method, path, body=None, limit=30.0, first=0):
        end = time.monotonic() + limit
        i = first
        data = json.dumps(body).encode() if body is not None else b""
        while time.monotonic() < end:
            core = self.mesh.cores[i % len(self.mesh.cores)]
            i += 1
            got = await send_request(core.addr("control"), method, path, {"Content-Type": "application/json"}, data, 1.0)
            if got and got.status < 500 and got.status not in (408, 429):
                return got
            await asyncio.sleep(0.1)
        return None

    async def put(self, routes, services, limits=None, limit=30.0):
        base, self.version = self.version, self.version + 1
        got = await self.order("POST", "/v1/Config.Put", {
            "version": "r%d" % self.version, "routes": routes, "services": services,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                                 "idle_timeout_ms": 15000},
            "base_version": "r%d" % base if base else "0"}, limit)
        if not got or got.status != 200:
            raise CannotRun("the configuration was not accepted: %s" % (got and (got.status, got.body)))
        return got


def route(name, path, service, kind="idempotent", timeout_ms=3000, target_ms=500, host="shop.example", attempts=2):
    return {"name": name, "host": host, "path_prefix": path, "route_kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts}


def service(name, max_conns=120):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns, "protocol": "h1", "tls": False}


class Instance:
    """A sound instance: runs `slots` requests at once, queues a few more, and beats at its machine's control address."""

    counter = 0

    def __init__(self, machine, version="v1", slots=12, work_ms=20, instance_id=None, answer=None, address=None):
        Instance.counter += 1
        self.machine, self.version, self.slots, self.work_ms = machine, version, slots, work_ms
        self.id = instance_id or "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.address = address or machine.addr("app")
        self.answer = answer or (lambda request: (200, b"ok"))
        self.runs = []  # (time, request id, method, path)
        self.arrivals = []
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.queue = asyncio.Semaphore(slots)
        self.acked = asyncio.Event()
        self.connections = set()
        self.tasks = set()
        self.ended = False

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)
        self.beats = asyncio.create_task(self.beat())

    def beat_body(self):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.machine.service, "version": self.version, "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "cold_left_ms": 0}}

    async def beat_once(self):
        got = await send_request(self.machine.addr("control"), "POST", "/v1/Instances.Heartbeat/" + self.id,
                                 {"Content-Type": "application/json"}, json.dumps(self.beat_body()).encode(), 1.0)
        ok = bool(got and 200 <= got.status < 300)
        if ok:
            self.acked.set()
        return ok

    async def beat(self):
        while not self.ended:
            ok = await self.beat_once()
            await asyncio.sleep(1.5 if ok else 0.3)

    async def say_draining(self):
        self.state = "draining"
        return await self.beat_once()

    async def deregister(self):
        got = await send_request(self.machine.addr("control"), "POST", "/v1/Instances.Deregister/" + self.id,
                                 {"Content-Type": "application/json"}, json.dumps({"born": self.born}).encode(), 1.0)
        return bool(got and 200 <= got.status < 300)

    async def end(self):
        self.ended = True
        self.beats.cancel()
        self.server.close()
        for it in list(self.connections):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                method, path, _ = start.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(writer, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, writer, method, path, headers, body):
        rid = headers.get("x-request-id", "")
        if method == "GET" and path == "/healthz":
            return await self.reply(writer, 200, {"X-Instance-Id": self.id}, b"")
        expected = headers.get("x-expect-instance")
        if expected and expected != self.id:
            return await self.reply(writer, 421, {"X-Request-Id": rid, "X-Not-Executed": "1"}, b"")
        self.arrivals.append((time.monotonic(), rid, method, path, headers))
        if not rid:
            return await self.reply(writer, 400, {"X-Not-Executed": "1"}, b"")
        if self.running >= self.slots * 5:
            return await self.reply(writer, 503, {"X-Request-Id": rid, "X-Not-Executed": "1"}, b"")
        self.running += 1
        try:
            async with self.queue:
                self.runs.append((time.monotonic(), rid, method, path))
                await asyncio.sleep(self.work_ms / 1000)
                status, data = self.answer((method, path, headers, body))
        finally:
            self.running -= 1
        await self.reply(writer, status, {"X-Request-Id": rid, "X-Server-Stamp": "%s.%s" % (self.id, rid)}, data)

    async def reply(self, writer, status, headers, data):
        lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % it for it in headers.items()]
        lines.append("Content-Length: %d" % len(data))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if data:
            writer.write(data)
        await writer.drain()


def new_id():
    return "%016x" % random.getrandbits(64)


async def call(address, method, path, body=b"", deadline_ms=3000, host="shop.example", rid=None, timeout=None):
    """A client's attempt: returns (request id, Answer or None)."""
    rid = rid or new_id()
    got = await send_request(address, method, path, {"Host": host, "X-Request-Id": rid, "X-Deadline-Ms": deadline_ms},
                             body, timeout or deadline_ms / 1000)
    return rid, got


async def wait_for(condition, limit=20.0, step=0.1):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        got = condition()
        if asyncio.iscoroutine(got):
            got = await got
        if got:
            return True
        await asyncio.sleep(step)
    return False


async def all_ready(mesh):
    async def one(machine):
        got = await send_request(machine.addr("ready"), "GET", "/v1/readyz", timeout=1.0)
        return bool(got and got.status == 200)

    async def check():
        return all(await asyncio.gather(*[one(it) for it in mesh.sidecars]))

    if not await wait_for(check, 25.0):
        raise CannotRun("the nodes are not ready")


class Record:
    """Writes record.txt beside the script."""

    def __init__(self, script):
        self.path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self.file = open(self.path, "w")
        self.started = time.monotonic()

    def line(self, text):
        out = "%9.3f %s" % (time.monotonic() - self.started, text)
        self.file.write(out + "\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text)


def run(main, script):
    """Runs `main(record, trouble)`, which returns True when the rule held. Exit codes: 0 held, 1 broken, 2 cannot run."""
    record = Record(script)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except CannotRun as e:
        record.say("cannot run: %s" % e)
        sys.exit(2)
    except (asyncio.TimeoutError, OSError) as e:
        record.say("cannot run: %r" % e)
        sys.exit(2)
    record.say("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)


class InstanceProcesses:
    """Runs instances in processes of their own, so that one interpreter does not bound their rate."""

    def __init__(self):
        self.processes = []

    def start(self, make):
        import multiprocessing

        def child():
            async def serve():
                await make().start()
                await asyncio.sleep(115)

            asyncio.run(serve())

        it = multiprocessing.get_context("fork").Process(target=child, daemon=True)
        it.start()
        self.processes.append(it)

    def close(self):
        for it in self.processes:
            it.kill()
            it.join()
