"""Sound instances in a process of their own: instances.py JSON. Requests are answered with as many bytes as the JSON
names for the first part of their path, after `work_s`."""
import asyncio
import json
import os
import sys
import types

import mesh as m


async def main(given):
    content = {it: b"x" * n for it, n in given["bytes"].items()}

    async def answer(instance, method, path, headers, body):
        await asyncio.sleep(given["work_s"])
        return content.get(path.split("/")[1], b"ordinary answer\n")

    side = types.SimpleNamespace(ports=given["ports"], slots=given["slots"], tasks=[])
    for it in given["instances"]:
        machine = types.SimpleNamespace(zone=it["zone"], service=it["service"],
                                        address=lambda port, ip=it["ip"]: (ip, given["ports"][port]))
        await m.Instance(side, machine, it["number"], answer).start()
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(0.5)


asyncio.run(main(json.loads(sys.argv[1])))
