"""One node gets SIGTERM in calm. It takes requests late in the grace time and
cuts those that last longer than what is left, with an answer of its own, while
their backend server is at work."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
from deployment import (BOUNDS, Deployment, Upstream, manifest, read_message,
                        run_case, seconds)

DEADLINE_S = 3.0      # time budget of bend-booking
TIMEOUT_S = 3.0       # timeout_s of its route
SHORT_S, LONG_S = 0.16, 2.2   # work of a request on the route bend
LONG_EVERY = 4        # one request in four on it lasts long
CUT_S = 2.6           # work of each request on the route cut
PAUSE_S = 0.25
SENT_LATE_S = 3.0     # of the rule's excuse
CLIENTS = {"node-3": 20, "node-1": 10, "node-2": 10}


class Sent:
    """A request and its end as its client saw them."""

    def __init__(self, node):
        self.node = node
        self.at = seconds()
        self.ended = None
        self.status = None


async def client(node, route, number, record, requests, stop):
    """Sends one request after the other on a kept connection, and opens a new
    one when the node asks for it."""
    await asyncio.sleep((number + 0.5 * (node.name == "node-2"))
                        * (CUT_S + PAUSE_S) / CLIENTS[node.name])
    count = 0
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(*node.outbound)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        keep = True
        while keep and not stop.is_set():
            count += 1
            ident = f"{route}-{node.name}-{number}-{count}"
            sent = requests[ident] = Sent(node.name)
            keep = False
            try:
                writer.write((f"POST /{route}/{ident} HTTP/1.1\r\n"
                              f"Host: shop.example\r\nRequest-Id: {ident}\r\n"
                              f"Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
                              "Content-Length: 3\r\n\r\ndie").encode())
                await writer.drain()
                message = await asyncio.wait_for(read_message(reader),
                                                 DEADLINE_S)
                if message:
                    sent.status = int(message[0].split(" ")[1])
                    keep = message[1].get("connection") != "close"
            except (ConnectionError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                pass
            sent.ended = seconds()
            record.add("client", "answer", id=ident, status=sent.status,
                       sent=f"{sent.at:.3f}")
            await asyncio.sleep(PAUSE_S)
        writer.close()


def work_of(upstream):
    """Returns how the server works on a request: a while by its route."""
    runs = 0

    async def answer(ident, headers, writer):
        nonlocal runs
        runs += ident.startswith("bend-")
        work = LONG_S if runs % LONG_EVERY == 0 else SHORT_S
        await asyncio.sleep(CUT_S if ident.startswith("cut-") else work)
        writer.write(upstream.response(ident))
        return True

    return answer


async def case(record, trouble):
    deployment = Deployment(record, [("a", "zone-a"), ("a", "zone-a"),
                                     ("b", "zone-c"), ("b", "zone-b"),
                                     ("b", "zone-b"), ("b", "zone-b"),
                                     ("b", "zone-b")])
    upstreams = [Upstream(record, f"i-{node.name}", node.service, node.app,
                          node.control) for node in deployment.nodes]
    requests, stop = {}, asyncio.Event()
    clients = []
    try:
        config = manifest([("bend", "b", "non_idempotent", TIMEOUT_S),
                           ("cut", "b", "non_idempotent", TIMEOUT_S)],
                          ["a", "b"])
        await deployment.start(config)
        for upstream, node in zip(upstreams, deployment.nodes):
            upstream.zone = node.zone
            upstream.answer = work_of(upstream)
            await upstream.start()
        await deployment.await_ready()
        await asyncio.sleep(5)
        clients = [asyncio.create_task(
            client(node, "bend" if node.name == "node-3" else "cut", number,
                   record, requests, stop))
                   for node in deployment.nodes
                   for number in range(CLIENTS.get(node.name, 0))]
        await asyncio.sleep(6)
        stopped = deployment.nodes[2]
        at = seconds()
        if trouble:
            # The only node of its zone: its clients go on, because fewer than
            # half of the zone's nodes are ready.
            stopped.send(signal.SIGTERM)
        while seconds() < at + BOUNDS["grace_s"]:
            if trouble and stopped.ended() is not None:
                record.add(stopped.name, "has ended",
                           after=f"{seconds() - at:.2f}s")
                break
            await asyncio.sleep(0.02)
        stop.set()
        await asyncio.wait(clients, timeout=DEADLINE_S + 1)
    finally:
        for upstream in upstreams:
            await upstream.stop()
        await deployment.stop()
    ran = {run[0] for upstream in upstreams for run in upstream.runs}
    cut = []
    for ident, sent in requests.items():
        if sent.node != stopped.name or ident not in ran or sent.ended is None:
            continue
        late = sent.at > at + SENT_LATE_S
        spent = sent.ended - sent.at
        if late and sent.status != 200 and spent < 0.9 * min(DEADLINE_S,
                                                             TIMEOUT_S):
            cut.append(ident)
            record.add("check", "cut while its server was at work", id=ident,
                       status=sent.status, sent=f"{sent.at - at:.2f}s",
                       ended=f"{sent.ended - at:.2f}s")
    late = [sent for sent in requests.values()
            if sent.node == stopped.name and sent.at > at + SENT_LATE_S]
    record.add("check", "requests sent later than 3 s after the SIGTERM",
               count=len(late), cut=len(cut),
               served=sum(sent.status == 200 for sent in late))
    if sum(sent.status == 200 for sent in requests.values()) < 50:
        raise RuntimeError("too few requests were served")
    return not cut


run_case(case)
