"""What the cases about clients that read slowly share: the platform's limit on memory, and ordinary callers."""
import asyncio
import signal
import time

import mesh as m

RESTART_S = 0.5
ENDS = 3  # of RULES.md, Fault: processes end by themselves three times in the day


class Platform:
    """Ends a process that uses more memory than its machine has, and starts it again after a short delay."""

    def __init__(self, record, mesh, memory_mb):
        self.record, self.mesh, self.limit_kb = record, mesh, memory_mb * 1024
        self.ends = {}
        self.highest_kb = {}

    async def watch(self):
        while True:
            for it in self.mesh.nodes + self.mesh.controls:
                used = it.memory_kb() if it.is_running() else 0
                self.highest_kb[it.name] = max(self.highest_kb.get(it.name, 0), used)
                if not it.is_running() or used > self.limit_kb:
                    self.end(it, used)
            await asyncio.sleep(0.02)

    def end(self, machine, used):
        running = machine.is_running()
        self.ends[machine.name] = self.ends.get(machine.name, 0) + 1
        self.record.line("%s %s, %d MB used" % (
            machine.name, "is over its memory and killed" if running else "has ended", used // 1024))
        if running:
            machine.signal(signal.SIGKILL)
        machine.process.wait()
        # The delay is spent here: nothing else happens to a machine meanwhile.
        asyncio.get_running_loop().call_later(RESTART_S, machine.start)
        machine.is_running = lambda: True
        machine.memory_kb = lambda: 0

        def back():
            del machine.is_running, machine.memory_kb
        asyncio.get_running_loop().call_later(RESTART_S + 0.1, back)

    def over(self):
        """The machines on which processes have ended by themselves as often as the rule counts."""
        return [name for name, n in self.ends.items() if n >= ENDS]

    async def until_over(self, machines, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and len(self.over()) < machines:
            await asyncio.sleep(0.1)

    def report(self, machines):
        for name, used in sorted(self.highest_kb.items()):
            self.record.line("%s used %d MB at most of %d, ended %d times"
                             % (name, used // 1024, self.limit_kb // 1024, self.ends.get(name, 0)))
        return len(self.over()) < machines


class Callers:
    def __init__(self, record):
        self.record, self.ends = record, {}

    async def call(self, front):
        while True:
            try:
                status, _, _ = await m.call(front.address("outbound"), "GET", "/short/1", b"", 3, "shop.example",
                                            {"X-Request-Id": m.request_id(), "X-Deadline-Ms": "3000"})
                end = str(status)
            except asyncio.TimeoutError:
                end = "no answer in 3 s"
            except (OSError, asyncio.IncompleteReadError, ValueError):
                end = "connection refused or closed without an answer"
            self.ends[end] = self.ends.get(end, 0) + 1
            await asyncio.sleep(0.1)

    def report(self):
        self.record.line("ordinary callers: " + ", ".join("%s: %d" % it for it in sorted(self.ends.items())))


def ordinary_callers(record, mesh, fronts):
    callers = Callers(record)
    for front in fronts:
        mesh.tasks.append(asyncio.ensure_future(callers.call(front)))
    return callers
