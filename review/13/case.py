"""A batch job is ended while the node that accepts it waits for the store."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_in_3"))
import standin  # noqa: E402

CANCEL_S = 3.0  # cancel_timeout_ms of sites/cuenta-lima.toml
CONTACT_S = 3.0  # contact_ms
SLOW_S = 0.24  # platform_slow, x = 60, of answers that take 4 ms
SLOW_FOR_S = 0.03
LAG_S = 3.0  # "stale reads are x s (3) behind"; "seconds old"
JOB = "7c41e09b52d6a3f8"
ITEMS = 150
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Proxy:
    """Carries one connection to a gateway, and resets it."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.writers = []
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        other, out = await asyncio.open_connection(self.host, self.port)
        self.writers += [writer, out]
        await asyncio.gather(self.copy(reader, out), self.copy(other, writer))

    @staticmethod
    async def copy(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass

    def reset(self):
        for writer in self.writers:
            standin.reset(writer)


async def main():
    record = standin.Record(os.path.join(HERE, "record.txt"))
    store = standin.Store(lag=LAG_S)
    await store.start()
    store.put("config", "main", standin.configuration([
        standin.route("/jobs/", "batch", max_attempts=3, timeout_ms=15000,
                      target_latency_ms=400, completion_target_ms=18000,
                      retention_s=60, priority=2)]))
    runs = []

    def answer(replica, run):
        runs.append((record.now(), run["id"]))
        record.add(f"item {run['id']} reaches {replica.id}")
        return {"events": 4, "gap_s": 0.1}

    for at in range(2):
        await standin.Replica(store, record, f"i-{at}", answer,
                              slots=4).start()
    fleet = standin.Fleet(store, 3)
    try:
        if not await fleet.start():
            return 2
        first, second = fleet.gateways[:2]
        proxy = Proxy(first.callers)
        await proxy.start()
        slow_until = None

        def delay(method, kind, name, _value):
            nonlocal slow_until
            if (TROUBLE and slow_until is None and method == "POST"
                    and kind == "job-states" and name == JOB):
                slow_until = record.now() + SLOW_FOR_S
                record.add("the store turns slow; the caller's connection to "
                           f"{first.name} is about to be reset")
                asyncio.get_running_loop().call_later(0.01, proxy.reset)
            if slow_until is not None and record.now() < slow_until:
                record.add(f"the answer to {method} {kind}/{name} takes "
                           f"{SLOW_S} s")
                return SLOW_S
            return 0.0

        store.delay = delay
        body = json.dumps({"items": [
            {"id": f"item{at:04d}", "path": f"/jobs/1/{at}",
             "headers": {"Model": "m", "Token-Usage": "350,166",
                         "Prompt-Prefix": f"9c2e41:100,{at:08x}:250"},
             "body": "q83vEjRWeJA=", "tokens": 516}
            for at in range(ITEMS)]}).encode()
        headers = {"Host": standin.HOST, "Request-Id": JOB,
                   "Content-Type": "application/json"}

        async def submit(gateway, address):
            status, _ = await standin.call(address, "POST", "/jobs/" + JOB,
                                           headers, body, 4.0)
            record.add(f"batch job sent to {gateway.name}: {status}")
            return status

        status = await submit(first, proxy.address)
        if status == 0:
            await asyncio.sleep(0.025)
            status = await submit(second, second.callers)
        if status != 202:
            return 2
        status, _ = await standin.call(
            second.callers, "DELETE", "/api/lots/" + JOB,
            {"Host": standin.HOST}, wait_s=4.0)
        ended = record.now()
        record.add(f"batch job ended at {second.name}: {status}")
        if status != 200:
            return 2
        await asyncio.sleep(12.0)
    finally:
        fleet.close()
    calm = (slow_until or 0.0) + SLOW_S if TROUBLE else 0.0
    bound = max(ended + CANCEL_S, calm + CONTACT_S)
    late = [run for run in runs if run[0] > bound]
    record.add(f"items that reached a replica: {len(runs)}, of these after "
               f"{bound:.3f}, when they may no longer run: {len(late)}")
    record.add("BROKEN: UNASKED" if late else "held")
    record.close()
    return 1 if late else 0


standin.run_case(main)
