"""Case 10: a batch job whose items name a path of the replicas that no route
begins."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "stand_in_2"))
import world as w  # noqa: E402

FINISH_S = 18  # `finish_s` of the sites.


async def case(world):
    replicas = [w.Replica(world, name, "voicing") for name in "abc"]
    routes = [w.stream_route("voicing"), w.batch_route("voicing")]
    await world.start(2, replicas, w.configuration(7, routes))
    entry, other = world.gateways
    job = "7c41e09b52d6a3f8"
    items = [f"e5b2907c14da6f{at:02x}" for at in range(8)]
    await world.submit(entry, job, items,
                       lambda item: f"9c2e41:100,{item[-6:]}:50",
                       "/v1/answers/" if w.TROUBLE else "/jobs/3/")
    listed, total = await world.await_finish(other, job, FINISH_S)
    busy = world.running()
    ran = sum(world.runs.count(item) for item in items)
    world.record(f"{len(listed)} of {total} listed after finish_s, {busy} "
                 f"requests at replicas, the items ran {ran} times")
    if len(listed) < total and not busy:
        return (f"LOST: {total - len(listed)} of {total} items of an open "
                "batch job are listed neither as completed nor as errored "
                "after finish_s, while the replicas are idle; the items ran "
                f"{ran} times")
    return None


w.play(pathlib.Path(__file__).resolve().parent, case)
