"""Case 6: the route of an open batch job is removed."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "stand_in_2"))
import world as w  # noqa: E402

FINISH_S = 18  # `finish_s` of the sites.
RETENTION_S = 60  # `retention_s` of the route.


async def case(world):
    replicas = [w.Replica(world, name, "voicing", slots=4)
                for name in ("a", "b")]
    routes = [w.stream_route("voicing"), w.batch_route("voicing")]
    await world.start(2, replicas, w.configuration(7, routes))
    entry, other = world.gateways
    handed_in = time.monotonic()
    items = [f"e5b2907c14da6f{at:02x}" for at in range(24)]
    await world.submit(entry, "7c41e09b52d6a3f8", items,
                       lambda item: f"9c2e41:300,{item[-6:]}:100")
    # Some items have run before the operator's next version.
    until = time.monotonic() + 15
    while not (await world.results(other, "7c41e09b52d6a3f8"))[0]:
        if time.monotonic() > until:
            raise w.CannotRun("no item was finished at first")
        await asyncio.sleep(0.1)
    kept = routes[:1] if w.TROUBLE else routes
    await world.store.put("config/main", w.configuration(12, kept))
    world.record("the operator writes version 12 "
                 f"{'without' if w.TROUBLE else 'with'} the batch route")
    # The traffic has ended; batch jobs have finish_s more, and 2 s for the
    # change to apply.
    listed, total = await world.await_finish(other, "7c41e09b52d6a3f8",
                                             FINISH_S + 2)
    runs = len(world.runs)
    busy = world.running()
    await asyncio.sleep(5)  # Calm: nothing runs and nothing is finished.
    after, _ = await world.results(other, "7c41e09b52d6a3f8")
    missing = total - len(after)
    world.record(f"{len(after)} of {total} listed, {busy} items at replicas, "
                 f"{len(world.runs) - runs} more runs in the last 5 s")
    for result in after:
        if result["state"] == "completed" and \
                result["text"] != replicas[0].whole_output(result["id"]):
            return f"item {result['id']} has another text"
    if missing:  # For the record; the rule looks at finish_s.
        await asyncio.sleep(handed_in + RETENTION_S + 3 - time.monotonic())
        late, _ = await world.results(other, "7c41e09b52d6a3f8")
        world.record(f"3 s after retention_s {len(late)} of {total} listed")
    if missing and not busy and len(after) == len(listed):
        return (f"LOST: {missing} of {total} items of an open batch job are "
                "listed neither as completed nor as errored after finish_s, "
                "while the replicas are idle")
    return None


w.play(pathlib.Path(__file__).resolve().parent, case)
