"""Case 10: requests with a part that crashes replicas, and a batch job that
shares another part with them."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "stand_in_2"))
import world as w  # noqa: E402

FINISH_S = 18  # `finish_s` of the sites.
DEADLY = "5d07b8"  # A part on which replicas crash.
SHARED = "91bd3f06"  # A sound part: a brief that many prompts quote.
BATCH = "9c2e41"  # The first part of the batch job's prompts.


async def case(world):
    replicas = [w.Replica(world, name, "voicing") for name in "abcdef"]
    for replica in replicas:
        replica.deadly_part = DEADLY if w.TROUBLE else None
    routes = [w.stream_route("voicing"), w.batch_route("voicing")]
    await world.start(2, replicas, w.configuration(7, routes))
    entry, other = world.gateways
    # No two are alike; all have the deadly part and the shared one.
    for number in range(3):
        await world.ask(entry, "/ask/2f", f"9c41d07be2a35f6{number}",
                        f"{DEADLY}:200,{SHARED}:100,e4402b7{number}:50")
        await asyncio.sleep(0.3)
    await asyncio.sleep(4.0)  # The replicas are back for longer than contact.
    # A sound job: no replica has ever crashed on what it shares.
    job = "7c41e09b52d6a3f8"
    items = [f"e5b2907c14da6f{at:02x}" for at in range(8)]
    await world.submit(entry, job, items,
                       lambda item: f"{BATCH}:100,{SHARED}:100,"
                                    f"{item[-6:]}:50")
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
