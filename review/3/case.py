"""A backend server leaves and has the acknowledgement. Leases run out while the
store is down, and the node beside the server is killed and starts again. A
check-in that the server sent before it left arrives late, and the server is in
use again."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
from deployment import (BOUNDS, Deployment, Upstream, manifest, request,
                        run_case, seconds)

RESTART_DELAY_S = 0.5
LATE_S = 6.0          # delay of the late check-in
OUTAGE_S = 1.5
BACK_S = 2.5          # from the return of the store to the kill
STAYS_S = 9.0         # the server serves on for this long after the ack


async def client(number, node, record, stop, answers):
    """Sends requests that may not be repeated, one after the other."""
    count = 0
    while not stop.is_set():
        count += 1
        ident = f"hold-{number}-{count}"
        try:
            status, _, _ = await asyncio.wait_for(
                request(node.outbound, "POST", f"/hold/{ident}",
                        {"Host": "shop.example", "Request-Id": ident,
                         "Deadline-Ms": "1500"}, b"bulbs"), 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = None
        answers[ident] = status
        record.add(f"client-{number}", "answer", id=ident, status=status)
        await asyncio.sleep(0.03)


async def late(upstream, record):
    """Delivers a check-in late that was sent now."""
    body = upstream.report()
    record.add(upstream.ident, "sends a check-in that is held up",
               sequence=body["sequence"])
    await asyncio.sleep(LATE_S)
    await upstream.heartbeat(body)


async def case(record, trouble):
    deployment = Deployment(record, [("a", "zone-a"), ("a", "zone-b"),
                                     ("b", "zone-c"), ("a", "zone-c")])
    upstreams = [Upstream(record, f"i-{node.name}", node.service, node.app,
                          node.control, work_s=0.21)
                 for node in deployment.nodes]
    answers = {}
    stop = asyncio.Event()
    tasks = []
    try:
        await deployment.start(manifest(
            [("hold", "a", "non_idempotent", 3),
             ("track", "b", "idempotent", 3)], ["a", "b"]))
        for upstream, node in zip(upstreams, deployment.nodes):
            upstream.zone = node.zone
            await upstream.start()
        await deployment.await_ready()
        await asyncio.sleep(5)
        tasks += [asyncio.create_task(client(i, deployment.nodes[i % 3],
                                             record, stop, answers))
                  for i in range(9)]
        await asyncio.sleep(2)

        leaving, node = upstreams[3], deployment.nodes[3]
        if not any(run[0].startswith("hold") for run in leaving.runs):
            raise RuntimeError("the server that leaves was not in use")
        for task in leaving.tasks:
            task.cancel()   # it sends no check-in after this
        tasks.append(asyncio.create_task(late(leaving, record)))
        await asyncio.sleep(0.1)
        if await leaving.leave() != 200:
            raise RuntimeError("the leave was not acknowledged")
        acknowledged = seconds()
        await asyncio.sleep(0.3)
        if trouble:
            deployment.store.fault = "down"
            deployment.store.expire_leases()
            record.add("store", "is down, leases run out")
            await asyncio.sleep(OUTAGE_S)
            deployment.store.fault = None
            record.add("store", "is back")
            await asyncio.sleep(BACK_S)
            node.send(signal.SIGKILL)
            node.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            node.start()
        await asyncio.sleep(acknowledged + STAYS_S - seconds())
        record.add(leaving.ident, "exits")
        running = set(leaving.running_ids)
        await leaving.stop()
        await asyncio.sleep(2)
        stop.set()
        after = [at for at in leaving.run_times
                 if at > acknowledged + BOUNDS["drain_s"]]
    finally:
        stop.set()
        for task in tasks:
            task.cancel()
        for upstream in upstreams:
            await upstream.stop()
        await deployment.stop()
    record.add("check", "requests that reached the server that left, later "
               "than drain_s after the ack", count=len(after),
               first=f"{after[0] - acknowledged:.2f}s" if after else "-")
    cut = sorted(ident for ident in running if answers.get(ident) != 200)
    record.add("check", "requests that it ran when it exited and that failed "
               "(not judged)", count=len(cut),
               answers=",".join(f"{ident}:{answers.get(ident)}"
                                for ident in cut) or "-")
    return not after


run_case(case)
