"""The operator writes a manifest that adds a route with a long path prefix and
moves another route. Every node rejects the whole manifest and goes on with the
one before."""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
from deployment import (BOUNDS, Deployment, Upstream, manifest, request,
                        run_case)

LONG_PREFIX_BYTES = 300
SHORT_PREFIX_BYTES = 30
ROUNDS = 10


async def ask(node, path, ident, record):
    """Sends one request. Returns its status and the service that ran it."""
    headers = {"Host": "shop.example", "Request-Id": ident,
               "Deadline-Ms": "1200"}
    try:
        status, answer, _ = await asyncio.wait_for(
            request(node.outbound, "GET", path, headers), 2)
        signature = answer.get("response-signature", "none")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status, signature = None, "none"
    record.add(node.name, "answer", id=ident, path=path[:24], status=status,
               signature=signature)
    return status, signature


async def case(record, trouble):
    deployment = Deployment(record, [("a", "zone-a"), ("a", "zone-b"),
                                     ("b", "zone-c"), ("b", "zone-a")])
    upstreams = [Upstream(record, f"i-{node.service}-{node.name}",
                          node.service, node.app, node.control)
                 for node in deployment.nodes]
    try:
        routes = [("browse", "a", "idempotent", 3),
                  ("track", "b", "idempotent", 3)]
        await deployment.start(manifest(routes, ["a", "b"]))
        for upstream, node in zip(upstreams, deployment.nodes):
            upstream.zone = node.zone
            await upstream.start()
        await deployment.await_ready()
        await asyncio.sleep(5)
        before = [await ask(node, "/browse/1", f"before-{node.name}", record)
                  for node in deployment.nodes]
        if any(status != 200 for status, _ in before):
            raise RuntimeError("the first manifest is not served")

        routes = [("browse", "b", "idempotent", 3),
                  ("track", "b", "idempotent", 3),
                  ("pattern", "a", "idempotent", 3)]
        config = manifest(routes, ["a", "b"], "0000000f")
        length = LONG_PREFIX_BYTES if trouble else SHORT_PREFIX_BYTES
        prefix = "/pattern/" + "d" * (length - 10) + "/"
        config["routes"]["pattern"]["path_prefix"] = prefix
        deployment.store.put("op/config", json.dumps(config).encode())
        record.add("operator", "writes version 0000000f, acknowledged",
                   prefix_bytes=len(prefix))
        await asyncio.sleep(2 * BOUNDS["config_apply_s"])

        outdated = {"moved route run by the old service": 0,
                    "new route answered 404": 0, "new route run": 0,
                    "moved route run by the new service": 0}
        for number in range(ROUNDS):
            for node in deployment.nodes:
                status, who = await ask(node, "/browse/1",
                                        f"moved-{node.name}-{number}", record)
                if status == 200:
                    kind = "old" if who.startswith("i-a-") else "new"
                    outdated[f"moved route run by the {kind} service"] += 1
                status, _ = await ask(node, prefix + "1",
                                      f"new-{node.name}-{number}", record)
                outdated["new route answered 404"] += status == 404
                outdated["new route run"] += status == 200
        record.add("check", "requests sent later than config_apply_s",
                   **{name.replace(" ", "_"): count
                      for name, count in outdated.items()})

        # Not judged: what a node that is started again makes of it.
        node = deployment.nodes[1]
        node.send(signal.SIGKILL)
        node.process.wait()
        await asyncio.sleep(0.5)
        node.start()
        await asyncio.sleep(10)
        record.add(node.name, "10 s after its start",
                   ready=await node.is_ready())
    finally:
        for upstream in upstreams:
            await upstream.stop()
        await deployment.stop()
    return (outdated["moved route run by the old service"] == 0
            and outdated["new route answered 404"] == 0)


run_case(case)
