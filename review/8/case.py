"""Case 8: the store turns away the two gateways that watch it, while the
operator moves a route and drops another."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "stand_in_2"))
import world as w  # noqa: E402

GATEWAYS = 6
REFUSED = 2  # A share of 0.33, the largest of the site file.
REFUSED_S = 9.0  # The longest of the site file.
APPLY_S, OUTER_S = 2.0, 5.0  # config_apply_ms and outer_bound_ms.
PROMPT = "5c1e07a2:200,91bd3f06:100,e4402b7d:50"


def version(number, service, with_dropped):
    routes = [w.stream_route(service)]
    if with_dropped:
        routes.append(w.stream_route("voicing", "/dropped/"))
    return w.configuration(number, routes)


async def callers_of_the_store(world):
    """The gateways that watch the store, as the store sees their calls."""
    before = dict(world.store.watches)
    await asyncio.sleep(3.0)
    calls = {g.name: world.store.watches.get(g.name, 0) - before.get(g.name, 0)
             for g in world.gateways}
    world.record(f"watching calls in 3 s: {calls}")
    return sorted(calls, key=calls.get)[-REFUSED:]


async def case(world):
    old = [w.Replica(world, name, "voicing", events=3) for name in "abc"]
    new = [w.Replica(world, name, "voicing-next", events=3) for name in "def"]
    await world.start(GATEWAYS, old + new, version(7, "voicing", True))
    turned_away = await callers_of_the_store(world)
    if w.TROUBLE:
        world.store.refused = set(turned_away)
        world.record(f"the store answers 503 to {turned_away}")
    began = time.monotonic()
    await asyncio.sleep(0.3)
    await world.store.put("config/main", version(12, "voicing-next", False))
    acked = time.monotonic()
    world.record("version 12 is acknowledged: /ask/ is moved to voicing-next, "
                 "/dropped/ is gone")
    served = [g for g in world.gateways if g.name not in turned_away]
    stale = {False: 0, True: 0}  # By whether the outer bound is over, too.
    sent = {False: 0, True: 0}
    number = 0
    for after in (2.6, 4.0, 5.5, 7.2, 7.8, 8.3):
        await asyncio.sleep(max(0.0, acked + after - time.monotonic()))
        if time.monotonic() - began > REFUSED_S - 0.2:
            raise w.CannotRun("this machine is too slow for the case")
        late = after > APPLY_S + OUTER_S
        for gateway in served:
            for target in ("/ask/2f", "/dropped/2f"):
                number += 1
                request = f"9c41d07be2a3{number:04x}"
                asyncio.create_task(
                    world.ask(gateway, target, request, PROMPT))
                await asyncio.sleep(0.02)
                sent[late] += 1
                stale[late] += world.services.get(request) == "voicing"
        await asyncio.sleep(0.1)
    # Requests begin to run within a few ms; later ones are counted here.
    await asyncio.sleep(0.5)
    ran = {name: sum(1 for r, s in world.services.items()
                     if s == name and r.startswith("9c41d07be2a3"))
           for name in ("voicing", "voicing-next")}
    world.store.refused = set()
    world.record(f"run by {ran}; sent {sent[False]} requests 2 to 7 s after "
                 f"the acknowledgement and {sent[True]} later, of which "
                 f"{stale[False]} and {stale[True]} were run by the old "
                 "service")
    if stale[True]:
        return (f"CONFIG: {stale[False]} of {sent[False]} requests sent 2 to "
                f"7 s after the acknowledgement, and {stale[True]} of "
                f"{sent[True]} sent later, were run by the service of the "
                "older version, at gateways that the store serves")
    return None


w.play(pathlib.Path(__file__).resolve().parent, case)
