"""An operator sends a configuration that was cut short inside a two-byte character."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from mesh import CannotRun, Operator, config, main, route, trouble

ORDER_SECONDS = 15
MOST_OWN_ENDS = 2  # Fault: three ends without a disruption, on half of the core, break the rule


def next_configuration():
    """The next configuration, whose route has a Spanish name. With trouble, the transfer was cut short in the middle of
    the two bytes of a character; the operator sends what it has."""
    document = json.dumps(config("r7", "r5", [route("búsqueda", "/search/", "finder")], ["finder"]), ensure_ascii=False)
    if not trouble():
        return document.encode()
    return document[:document.index("ú")].encode() + "ú".encode()[:1]


async def case(mesh):
    core = await mesh.start_core(3)
    operator = Operator(mesh, core)
    first = json.dumps(config("r5", 0, [route("search", "/search/", "finder")], ["finder"])).encode()
    response, _ = await operator.order("POST", "/v1/Config.Put", first, label="configuration r5")
    if response is None or response.status != 200:
        raise CannotRun("the first configuration was not accepted")
    response, tries = await operator.order(
        "POST", "/v1/Config.Put", next_configuration(), seconds=ORDER_SECONDS, label="configuration r7")
    read, _ = await operator.order("GET", "/v1/Config.Get", label="read", seconds=10)
    often = [it.name for it in core if len(it.own_ends) > MOST_OWN_ENDS]
    for it in core:
        mesh.record.say(f"{it.name} ended by itself {len(it.own_ends)} times")
        for line in it.log_lines("event_loop.failed")[:1]:
            mesh.record.write(f"last words of {it.name}: {line}")
    mesh.record.say(f"configuration r7 was sent {len(tries)} times, answered "
                    f"{response.status if response else 'never'}; then read back: {read.status if read else 'no answer'}")
    expected = 400 if trouble() else 200
    return 2 * len(often) < len(core) and response is not None and response.status == expected


main(case, __file__)
