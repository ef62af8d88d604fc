"""Case 7: a gateway is killed 38 s after a release, and its clients take their
streams up at the others."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "stand_in_2"))
import world as w  # noqa: E402

STREAMS = 16  # The rule counts from 12 on.
PROMPT = "5c1e07a2:200,91bd3f06:100,e4402b7d:50"
# Between the end of the release and the kill.
WAIT_S = float(os.environ.get("WAIT_S", "38"))


async def take_up(world, number):
    """One client: its connection breaks, and it goes on at the other gateways,
    at most twice. Returns whether the stream went on; None if it did not
    begin."""
    first = f"9c41d07be2a35f{number:02x}"
    # Without trouble the connection breaks by itself after eight events.
    events = 1000 if w.TROUBLE else 8
    seen = await world.begin_stream(world.gateways[0], "/ask/2f", first,
                                    PROMPT, events)
    if seen == 0:
        return None
    for attempt in (1, 2):
        status = await world.ask(
            world.gateways[attempt], "/ask/2f", f"{first}{attempt}", PROMPT,
            [("Last-Event-Id", str(seen)), ("Resumes", first)])
        if status == 200:
            return True
        await asyncio.sleep(0.2)
    return False


async def new_stream(world, number):
    status = await world.ask(world.gateways[1 + number % 2], "/ask/2f",
                             f"7be2a35f9c41d0{number:02x}", PROMPT)
    return status == 200


async def case(world):
    newer = [w.Replica(world, name, "voicing", version="v2")
             for name in "abcd"]
    older = [w.Replica(world, name, "voicing", version="v1")
             for name in "ef"]
    await world.start(3, newer + older, w.configuration(7, [
        w.stream_route("voicing")]))
    # The end of a release: the last replicas of the older version leave.
    await asyncio.gather(*[replica.leave() for replica in older])
    ended = time.monotonic()
    await asyncio.sleep(ended + WAIT_S - time.monotonic())
    clients = asyncio.gather(*[take_up(world, number)
                               for number in range(STREAMS)])
    if w.TROUBLE:
        await asyncio.sleep(0.5)
        world.record("gateway front-0 is killed")
        world.gateways[0].process.send_signal(signal.SIGKILL)
    began = [went_on for went_on in await clients if went_on is not None]
    new = await asyncio.gather(*[new_stream(world, number)
                                 for number in range(STREAMS)])
    world.record(f"{WAIT_S:.0f} s after the release: {len(began)} streams "
                 f"were taken up, {sum(began)} went on; {sum(new)} of "
                 f"{STREAMS} new streams began")
    if len(began) < 12 or sum(new) < STREAMS / 2:
        raise w.CannotRun("too few streams began")
    if sum(began) / len(began) < 0.5 * sum(new) / STREAMS:
        return (f"LOST: {sum(began)} of {len(began)} streams that were taken "
                f"up went on, while {sum(new)} of {STREAMS} new streams began")
    return None


w.play(pathlib.Path(__file__).resolve().parent, case)
