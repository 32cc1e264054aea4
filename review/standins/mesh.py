"""Stand-ins for the review scripts: the platform that starts the project's programs, instances, clients and operators.

Every process has a loopback address of its own (127.A.B.C), so that all of them can use the same ports, as machines of
one deployment do. Settings are made from the templates that deploy/system.toml names. Nothing is read or written
outside the repository and a temporary folder.
"""

import asyncio
import json
import os
import random
import re
import signal
import shutil
import socket
import sys
import tempfile
import threading
import time
import tomllib

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
RESTART_DELAY_S = 0.3  # DEPLOY.md: a process that exits or is killed is restarted after a short delay
SETTINGS_WORD = "/etc/pomelowind/local.yaml"  # word of the run line that names the settings file
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 60, "exposure_share": 0.1,
    "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 15,
}
HEARTBEAT_INTERVAL_S = 1.5
CASE_LIMIT_S, RUN_LIMIT_S = 110, 117  # of the 120 s that a script may take


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


# ---- settings ----

def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}} and {{a|json}} of a settings template."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        it = fields
        for part in name.strip().split("."):
            it = it[int(part)] if isinstance(it, list) else it.get(part) if isinstance(it, dict) else None
        if form.strip() == "json":
            return json.dumps(it)
        return "" if it is None else str(it)
    return re.sub(r"\{\{([^}]*)\}\}", value, template)


# ---- HTTP ----

class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name):
        return next((v for n, v in self.headers if n.lower() == name.lower()), None)

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


async def read_message(reader, bodiless=False):
    """Reads one request or response. Returns None at the end of the connection before the first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if not e.partial:
            return None
        raise ConnectionError("the head is cut off")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = [(n.strip(), v.strip()) for n, _, v in (line.partition(":") for line in lines[1:])]
    out = Message(lines[0], headers, b"")
    if bodiless:
        return out
    try:
        if (out.get("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                n = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(n + 2)
                out.body += part[:-2]
                if n == 0:
                    return out
        n = int(out.get("Content-Length") or 0)
        out.body = await reader.readexactly(n) if n else b""
    except asyncio.IncompleteReadError:
        raise ConnectionError("the body is cut off")
    return out


def message_bytes(start, headers, body=b"", with_length=True):
    head = start + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
    if with_length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


async def call_once(address, method, path, body=b"", headers=(), timeout=1.0, source=None):
    """Sends one request over a connection of its own. Raises OSError or TimeoutError without a whole response."""
    async def exchange():
        host, _, port = address.rpartition(":")
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(host, int(port), local_addr=local, limit=1 << 20)
        try:
            writer.write(message_bytes(f"{method} {path} HTTP/1.1", [("Host", address), *headers], body))
            await writer.drain()
            response = await read_message(reader)
            if response is None:
                raise ConnectionError("closed without a response")
            return response
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


# ---- record ----

class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8", errors="backslashreplace")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# ---- platform ----

class Process:
    """One program of the deploy file on a machine, which the platform starts again when it ends."""

    def __init__(self, mesh, name, role, fields):
        self.mesh, self.name, self.role, self.fields = mesh, name, role, fields
        self.child, self.wanted, self.starts, self.own_ends = None, False, 0, []
        self.expected_end = False
        self.settings = os.path.join(mesh.folder, name + ".yaml")
        self.log_path = os.path.join(mesh.folder, name + ".log")
        self.ended = asyncio.Event()
        self.watcher = None
        self.edit_settings = lambda text: text  # changes the settings that the template gives

    def mesh_address(self):
        return f"{self.fields['ip']}:{self.fields['port_range'][0]}"

    def address(self, name):
        return self.fields["listen_addrs"][name]

    async def start(self):
        self.wanted = True
        if not self.watcher:
            self.watcher = asyncio.create_task(self.watch())
        await self.spawn()

    async def spawn(self):
        spec = self.mesh.deploy["roles"][self.role]
        self.fields["is_first_start"] = self.mesh.first_start and self.starts == 0
        with open(os.path.join(REPOSITORY, spec["template"]), encoding="utf-8") as f:
            text = self.edit_settings(render(f.read(), self.fields))
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        words = [word.replace(SETTINGS_WORD, self.settings) for word in spec["run"].split()]
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["POMELOWIND_CONFIG"] = self.settings
        log = open(self.log_path, "ab")
        self.starts += 1
        self.expected_end = False
        self.child = await asyncio.create_subprocess_exec(
            *words, cwd=REPOSITORY, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.mesh.record.write(f"platform starts {self.name}, process {self.child.pid}")

    async def watch(self):
        while True:
            child = self.child
            if not child:
                await asyncio.sleep(0.02)
                continue
            code = await child.wait()
            kind = "as told" if self.expected_end else "by itself"
            self.mesh.record.write(f"{self.name} ended {kind}, code {code}")
            if not self.expected_end:
                self.own_ends.append(self.mesh.record.now())
            if self.child is child:
                self.child = None
            self.ended.set()
            self.ended.clear()
            if self.wanted:
                await asyncio.sleep(RESTART_DELAY_S)
                if self.wanted and not self.child:
                    await self.spawn()

    def signal(self, number):
        if self.child and self.child.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected_end = True
            self.mesh.record.write(f"platform sends {signal.Signals(number).name} to {self.name}")
            self.child.send_signal(number)

    def log_lines(self, text):
        with open(self.log_path, encoding="utf-8", errors="backslashreplace") as f:
            return [line.rstrip("\n") for line in f if text in line]


class Mesh:
    """Starts the processes of a small deployment and ends them."""

    def __init__(self, folder, zones=("z1", "z2", "z3")):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        for role in self.deploy["roles"].values():
            program = os.path.join(REPOSITORY, role["run"].split()[0])
            if not os.access(program, os.X_OK):
                raise CannotRun(f"{program} is missing; run the build of deploy/system.toml")
        self.folder = tempfile.mkdtemp(prefix="pomelowind-review-")
        self.record = Record(folder)
        self.zones, self.processes, self.first_start, self.counter = zones, [], True, 0
        self.seeds, self.tasks = [], []
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.ports = self.free_ports(6)

    def free_ports(self, n):
        found = []
        while len(found) < n:
            with socket.socket() as s:
                s.bind((f"{self.network}.1", 0))
                port = s.getsockname()[1]
            if port not in found:
                found.append(port)
        return found

    def machine_fields(self, machine_class, zone, service=None):
        self.counter += 1
        ip = f"{self.network}.{self.counter}"
        names = dict(zip(("inbound", "outbound", "ready", "control"), self.ports))
        return {
            "machine_class": machine_class, "ip": ip, "zone": zone, "region": "r1",
            "zones": {z: "r1" for z in self.zones},
            "listen_addrs": {n: f"{ip}:{p}" for n, p in names.items()},
            "port_range": [self.ports[4], self.ports[5]], "seeds": self.seeds, "is_first_start": True,
            "data_dir": None, "bounds": BOUNDS, "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "app_addr": f"{ip}:{names['control'] + 1 if names['control'] + 1 not in self.ports else names['control'] + 2}",
            "service": service, "heartbeat_interval_ms": int(HEARTBEAT_INTERVAL_S * 1000),
        }

    async def start_core(self, n=3):
        core = []
        for i in range(n):
            fields = self.machine_fields("core", self.zones[i % len(self.zones)])
            fields["data_dir"] = os.path.join(self.folder, f"core-{i + 1}-disk")
            core.append(Process(self, f"core-{i + 1}", "control", fields))
        self.seeds.extend(it.address("control") for it in core[:3])
        self.processes += core
        for it in core:
            await it.start()
        return core

    async def start_sidecar(self, zone, service):
        fields = self.machine_fields("sidecar", zone, service)
        process = Process(self, f"sidecar-{sum(it.role == 'node' for it in self.processes) + 1}", "node", fields)
        self.processes.append(process)
        await process.start()
        return process

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def stop(self):
        for it in self.processes:
            it.wanted = False
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        for it in self.processes:
            if it.child:
                await it.child.wait()
            if it.watcher:
                it.watcher.cancel()
        for task in self.tasks:  # the process ends without waiting for them
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.05)
    raise CannotRun(what + " did not happen in time")


# ---- network ----

class Proxy:
    """Forwards connections to a process. Those that are open when silence() is called carry nothing more, in either
    direction, and are never closed; later ones work."""

    def __init__(self, listen, to):
        self.listen, self.to, self.open, self.server = listen, to, [], None

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    def silence(self):
        silenced = sum(not it["silent"] for it in self.open)
        for it in self.open:
            it["silent"] = True
        return silenced

    async def accept(self, reader, writer):
        host, _, port = self.to.rpartition(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        connection = {"silent": False}
        self.open.append(connection)
        try:
            await asyncio.gather(self.forward(connection, reader, to_writer), self.forward(connection, to_reader, writer))
        finally:
            self.open.remove(connection)
            for it in (writer, to_writer):
                it.close()

    async def forward(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if not connection["silent"]:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not connection["silent"]:
            writer.close()


# ---- operator ----

class Operator:
    """Follows PROTOCOL.md: moves on to another machine, with growing pauses, after a failure, a 5xx, a 408 or 429, or a
    second without a response; 400, 409, 412, 413 and 422 end a call, any other 4xx at the third attempt."""

    ENDING = (400, 409, 412, 413, 422)

    def __init__(self, mesh, core):
        self.mesh, self.core = mesh, core

    async def order(self, method, path, body=b"", seconds=20.0, label="", first=0):
        until = time.monotonic() + seconds
        pause, refusals, n = 0.1, 0, first
        tries = []
        while time.monotonic() < until:
            to = self.core[n % len(self.core)]
            n += 1
            try:
                response = await call_once(
                    to.address("control"), method, path, body, [("Content-Type", "application/json")], timeout=1.0)
                status = response.status
                tries.append(status)
                self.mesh.record.write(f"operator: {label or path} to {to.name}: {status} {response.body[:160]!r}")
                if 200 <= status < 300 or status in self.ENDING:
                    return response, tries
                if 400 <= status < 500 and status not in (408, 429):
                    refusals += 1
                    if refusals >= 3:
                        return response, tries
            except (OSError, asyncio.TimeoutError) as e:
                tries.append(None)
                self.mesh.record.write(f"operator: {label or path} to {to.name}: no response ({type(e).__name__} {e})")
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None, tries


def config(version, base, routes, services, limits=None):
    return {
        "version": version, "routes": routes,
        "services": [{"name": s, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": False}
                     for s in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000, **(limits or {})},
        "base_version": base,
    }


def route(name, prefix, service, kind="idempotent", host="shop.example", timeout_ms=2000, attempts=2, priority=1):
    return {"name": name, "host": host, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 500, "priority": priority, "service": service, "max_attempts": attempts}


# ---- instances ----

class Instance:
    """A sound instance: runs requests that it is meant for, answers with its stamp, and sends heartbeats."""

    def __init__(self, mesh, node, service, version="v1", slots=12, work_s=0.02, zone=None, bad_share=0.0):
        self.mesh, self.node, self.service, self.version = mesh, node, service, version
        self.slots, self.work_s, self.bad_share = slots, work_s, bad_share
        self.zone = zone or node.fields["zone"]
        self.address = node.fields["app_addr"]
        self.id = "i-" + "".join(random.choices("0123456789abcdef", k=10))
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.running = 0, "ready", 0
        self.runs = []  # (seconds, request id, path)
        self.server, self.beats, self.writers = None, None, set()
        self.serial = 0

    async def start(self, beats=True):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)
        self.mesh.record.write(f"instance {self.id} ({self.service} {self.version}) starts beside {self.node.name}")
        if beats:
            self.beats = self.mesh.spawn(self.beat_forever())

    def heartbeat(self, state=None):
        self.sequence += 1
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": self.version, "zone": self.zone, "slots": self.slots},
            "status": {"state": state or self.state, "sequence": self.sequence, "cold_left_ms": 0},
        }).encode()

    async def tell(self, path, body, label):
        """Sends a message to the machine's own node until it is acknowledged. Returns the time of the acknowledgement
        in seconds, or None after three tries without one."""
        for _ in range(3):
            try:
                response = await call_once(self.node.address("control"), "POST", path, body,
                                           [("Content-Type", "application/json")], timeout=1.0)
                if 200 <= response.status < 300:
                    self.mesh.record.write(f"instance {self.id}: {label} acknowledged by {self.node.name}")
                    return self.mesh.record.now()
                self.mesh.record.write(f"instance {self.id}: {label} answered {response.status}")
            except (OSError, asyncio.TimeoutError) as e:
                self.mesh.record.write(f"instance {self.id}: {label} got no answer ({type(e).__name__})")
            await asyncio.sleep(0.2)
        return None

    async def beat(self):
        body = self.heartbeat()
        try:
            await call_once(self.node.address("control"), "POST", "/v1/Instances.Heartbeat/" + self.id, body,
                            [("Content-Type", "application/json")], timeout=1.0)
        except (OSError, asyncio.TimeoutError):
            pass

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def drain(self):
        self.state = "draining"
        return await self.tell("/v1/Instances.Heartbeat/" + self.id, self.heartbeat(), "draining")

    async def deregister(self):
        body = json.dumps({"born": self.born}).encode()
        return await self.tell("/v1/Instances.Deregister/" + self.id, body, "deregistration")

    def stop_beats(self):
        if self.beats:
            self.beats.cancel()
            self.beats = None

    async def exit(self):
        self.stop_beats()
        self.mesh.record.write(f"instance {self.id} exits")
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await self.answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        request_id = request.get("X-Request-Id") or ""
        method, path, _ = request.start.split(" ", 2)
        def send(status, headers, body=b""):
            writer.write(message_bytes(f"HTTP/1.1 {status}", [("X-Request-Id", request_id), *headers], body))
        expected = request.get("X-Expect-Instance")
        if expected and expected != self.id:
            send("421 Misdirected Request", [("X-Not-Executed", "1")])
            return await writer.drain()
        if self.running >= self.slots:
            send("503 Service Unavailable", [("X-Not-Executed", "1")])
            return await writer.drain()
        self.running += 1
        self.runs.append((self.mesh.record.now(), request_id, path))
        self.mesh.record.write(f"instance {self.id} {self.version} runs {request_id} {method} {path}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.serial += 1
        status = "500 Internal Server Error" if random.random() < self.bad_share else "200 OK"
        send(status, [("X-Server-Stamp", f"{self.id}.{self.serial}"), ("Keep-Alive", "timeout=10")],
             f"done {request_id}".encode())
        await writer.drain()


# ---- clients ----

class Client:
    """A client on a sidecar machine. Each request has its own id."""

    def __init__(self, mesh, node, host="shop.example"):
        self.mesh, self.node, self.host = mesh, node, host
        self.results = []  # (sent, seconds, request id, status or None)

    async def send(self, method, path, body=b"", deadline_ms=2000, label="", connection=None, quiet=False):
        request_id = "".join(random.choices("0123456789abcdef", k=16))
        headers = [("Host", self.host), ("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms))]
        sent, status, response = self.mesh.record.now(), None, None
        own = connection is None
        try:
            if own:
                connection = await self.connect()
            reader, writer = connection
            async def exchange():
                writer.write(message_bytes(f"{method} {path} HTTP/1.1", headers, body))
                await writer.drain()
                return await read_message(reader)
            response = await asyncio.wait_for(exchange(), deadline_ms / 1000 + 1)
            status = response.status if response else None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            if not quiet:
                self.mesh.record.write(f"client at {self.node.name}: {request_id} {type(e).__name__}")
        finally:
            if own and connection:
                connection[1].close()
        self.results.append((sent, self.mesh.record.now() - sent, request_id, status))
        if not quiet:
            stamp = response.get("X-Server-Stamp") if response else None
            self.mesh.record.write(f"client at {self.node.name}: {label} {request_id} {method} {path} sent {sent:.3f}, "
                                   f"answered {status} {stamp or ''}")
        return request_id, status, response

    async def connect(self):
        host, _, port = self.node.address("outbound").rpartition(":")
        return await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 20), 1.0)


async def is_ready(node):
    try:
        return (await call_once(node.address("ready"), "GET", "/v1/readyz", timeout=0.5)).status == 200
    except (OSError, asyncio.TimeoutError):
        return False


# ---- run of a case ----

def main(case, file):
    """Runs `case(mesh)`, which returns True if the rule held. Exits with 0 if it held, 1 if not, 2 if it could not run."""
    folder = os.path.dirname(os.path.abspath(file))
    meshes = []

    def give_up():
        for it in (process for mesh in meshes for process in mesh.processes):
            it.wanted = False
            if it.child and it.child.returncode is None:
                os.kill(it.child.pid, signal.SIGKILL)
        print("the case could not run: it did not end in time", flush=True)
        os._exit(2)

    limit = threading.Timer(RUN_LIMIT_S, give_up)
    limit.daemon = True
    limit.start()

    async def run():
        mesh = Mesh(folder)
        meshes.append(mesh)
        mesh.record.write(f"TROUBLE={1 if trouble() else 0}")
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(mesh), CASE_LIMIT_S)
        finally:
            await mesh.stop()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as e:
        print("the case could not run:", type(e).__name__, e, flush=True)
        os._exit(2)
    print("the rule held" if held else "the rule was broken", flush=True)
    os._exit(0 if held else 1)  # without the complaints of streams that are still open
