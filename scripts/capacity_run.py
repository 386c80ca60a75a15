#!/usr/bin/env python3
"""Runs fleets of magnoliad of several sizes and measures what each node uses.

Every process is started here and ended by its id. A fleet that needs more
than half of the machine's memory is stopped and left out.
"""

import argparse
import base64
import concurrent.futures
import http.server
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

HTTP_PORT, PEER_PORT, CONTROL_PORT, GOSSIP_PORT = 18080, 18081, 18082, 18083
STORE_PORT, BACKEND_PORT = 18070, 18090
ZONES = ("a", "b", "c")
NODES_PER_SERVICE = 10
# 37,000 configuration changes a day.
CHANGE_INTERVAL_S = 86400 / 37000
SETTLE_LIMIT_S = 90
# Time for the spread of the last joins to end before the measurement.
SETTLE_REST_S = 10
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def fetch(address, port, path, body=None, method=None):
    url = f"http://{address}:{port}{path}"
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=5) as answer:
        return answer.read().decode()


def process_usage(pid):
    """CPU seconds and resident bytes of a process."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, pages * PAGE_BYTES


def machine_memory():
    for line in pathlib.Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError("no MemTotal in /proc/meminfo")


def read_metrics(text):
    """Sums of the samples of a Prometheus text page, by metric name."""
    sums = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            name = name.split("{")[0]
            sums[name] = sums.get(name, 0.0) + float(value)
    return sums


def control_bytes(address):
    """Bytes of gossip and control calls sent and received by a node so far."""
    metrics = read_metrics(fetch(address, HTTP_PORT, "/-/metrics"))
    found = [value for name, value in metrics.items()
             if name.startswith("magnolia_control_") and "_bytes_" in name]
    return sum(found) if found else None


class IdleBackend(http.server.BaseHTTPRequestHandler):
    """Backend server without work: only its health and load are read."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = b'{"status":"ok","in_flight":0,"capacity":12,"slots":12}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Magnolia-Backend-Incarnation", "1")
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class Fleet:
    def __init__(self, build, size, folder):
        self.build, self.size, self.folder = build, size, folder
        block = 192 + os.getpid() % 32
        self.store_address = f"127.{block}.0.1"
        self.nodes = [(f"127.{block}.{1 + i % 3}.{1 + i // 3}", i)
                      for i in range(size)]
        self.services = [f"service-{n}"
                         for n in range(max(1, size // NODES_PER_SERVICE))]
        self.processes = []
        self.backends = []

    def spawn(self, name, command):
        output = open(self.folder / f"{name}.out", "ab")
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL,
                                   stdout=output, stderr=output)
        output.close()
        self.processes.append(process)
        return process

    def service_of(self, number):
        return self.services[number % len(self.services)]

    def settings(self, address, number):
        contacts = ",".join(f"{a}:{GOSSIP_PORT}" for a, _ in self.nodes[:3])
        return (f"[node]\naddress = {address}\nhttp_port = {HTTP_PORT}\n"
                f"peer_port = {PEER_PORT}\ncontrol_port = {CONTROL_PORT}\n"
                f"gossip_port = {GOSSIP_PORT}\nregion = capacity\n"
                f"zone = capacity-{ZONES[number % 3]}\n"
                f"cluster_key_file = {self.folder}/cluster.key\n\n"
                f"[backend]\naddress = {address}\nport = {BACKEND_PORT}\n"
                f"service = {self.service_of(number)}\nversion = 1\n"
                f"slots = 12\nconnections = 200\n"
                f"health_path = /health\nload_path = /load\n\n"
                f"[store]\naddress = {self.store_address}\n"
                f"port = {STORE_PORT}\n\n[contacts]\nnodes = {contacts}\n\n"
                f"[log]\nlevel = warning\nfile = {self.folder}/{address}.log\n")

    def start(self):
        (self.folder / "cluster.key").write_text("capacity-key-" + "0" * 40)
        (self.folder / "cluster.key").chmod(0o400)
        self.spawn("store", [self.build / "standin/store/standin-store",
                             "--address", self.store_address,
                             "--port", str(STORE_PORT)])
        for address, number in self.nodes:
            file = self.folder / f"{address}.ini"
            file.write_text(self.settings(address, number))
            self.spawn(address, [self.build / "packages/daemon/magnoliad",
                                 "--config", file])
            backend = http.server.ThreadingHTTPServer((address, BACKEND_PORT),
                                                      IdleBackend)
            self.backends.append(backend)
            threading.Thread(target=backend.serve_forever, args=(1.0,),
                             daemon=True).start()
        for address, number in self.nodes:
            self.announce(address, number)

    def announce(self, address, number):
        body = {"service": self.service_of(number), "version": "1",
                "port": BACKEND_PORT, "slots": 12, "connections": 200,
                "incarnation": 1}
        for _ in range(100):
            try:
                fetch(address, HTTP_PORT, "/-/backend", body)
                return
            except OSError:
                time.sleep(0.1)
        raise RuntimeError(f"the node at {address} took no announcement")

    def control(self, *words, node=None):
        command = [self.build / "packages/ctl/magnoliactl", *words,
                   "--store", f"{self.store_address}:{STORE_PORT}",
                   "--node", f"{node or self.nodes[0][0]}:{CONTROL_PORT}",
                   "--key-file", self.folder / "cluster.key"]
        return subprocess.run(command, capture_output=True, text=True,
                              timeout=30, check=False)

    def alive(self, address):
        result = self.control("status", "--json", node=address)
        try:
            nodes = json.loads(result.stdout).get("nodes", {})
            return min((n["alive"] for n in nodes.values()), default=0)
        except ValueError:
            return 0

    def settle(self):
        """Waits until the first, middle and last node see the whole fleet."""
        started = time.monotonic()
        watched = {self.nodes[i][0] for i in (0, self.size // 2, -1)}
        while time.monotonic() - started < SETTLE_LIMIT_S:
            watched = {a for a in watched if self.alive(a) < self.size - 1}
            if not watched:
                return time.monotonic() - started
            time.sleep(0.5)
        return None

    def publish(self):
        """Publishes the first edition of all services."""
        folder = self.folder / "services"
        folder.mkdir()
        for service in self.services:
            (folder / f"{service}.service.ini").write_text(
                f"[service]\nname = {service}\nversion = 1\n\n[route /]\n"
                f"idempotent = true\ntimeout_ms = 1000\n")
        result = self.control("publish", str(folder))
        if result.returncode not in (0, 5):
            raise RuntimeError("publishing failed: " + result.stdout)

    def change(self, edition):
        """Changes a service in the store itself: magnoliactl also asks every
        node whether the change is in force, which is no cost of the nodes'
        own traffic."""
        key = "services/" + self.services[edition % len(self.services)]
        entry = json.loads(fetch(self.store_address, STORE_PORT,
                                 f"/v1/kv?key={key}"))
        record = json.loads(base64.b64decode(entry["value"]))
        record["operation_id"] = f"capacity-{edition}"
        for route in record["routes"]:
            route["timeout_ms"] = 1001 + edition
        value = base64.b64encode(json.dumps(record).encode()).decode()
        fetch(self.store_address, STORE_PORT, "/v1/kv",
              {"key": key, "value": value,
               "expected_revision": entry["revision"]}, "PUT")

    def usage(self):
        return [process_usage(p.pid) for p in self.processes[1:]]

    def stop(self):
        # Each shutdown waits for up to a second.
        with concurrent.futures.ThreadPoolExecutor(100) as pool:
            list(pool.map(lambda backend: backend.shutdown(), self.backends))
        for backend in self.backends:
            backend.server_close()
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        limit = time.monotonic() + 10
        for process in self.processes:
            try:
                process.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def store_calls(fleet):
    counters = json.loads(fetch(fleet.store_address, STORE_PORT, "/counters"))
    return sum(counters["calls"].values())


def sampled_bytes(fleet):
    """Control bytes of up to ten nodes; None where nodes don't report them."""
    sample = fleet.nodes[::max(1, fleet.size // 10)][:10]
    values = [control_bytes(address) for address, _ in sample]
    return None if None in values else sum(values) / len(values)


def measure(fleet, seconds):
    settled = fleet.settle()
    fleet.publish()
    time.sleep(SETTLE_REST_S)
    before, bytes_before = fleet.usage(), sampled_bytes(fleet)
    calls_before, start = store_calls(fleet), time.monotonic()
    edition = 0
    while time.monotonic() - start < seconds:
        fleet.change(edition)
        edition += 1
        next_change = start + edition * CHANGE_INTERVAL_S
        time.sleep(max(0, min(next_change, start + seconds) - time.monotonic()))
    after, bytes_after = fleet.usage(), sampled_bytes(fleet)
    length = time.monotonic() - start
    cpu = sorted((b[0] - a[0]) / length for a, b in zip(before, after))
    memory = sorted(b[1] for b in after)
    has_bytes = bytes_before is not None and bytes_after is not None
    return {
        "nodes": fleet.size,
        "seconds": round(length, 2),
        "settled_s": None if settled is None else round(settled, 1),
        "changes": edition,
        "cpu_share_of_core": sum(cpu) / len(cpu),
        "cpu_share_of_core_max": cpu[-1],
        "resident_mb": sum(memory) / len(memory) / 1e6,
        "resident_mb_max": memory[-1] / 1e6,
        "control_bytes_per_s":
            (bytes_after - bytes_before) / length if has_bytes else None,
        "store_calls_per_s": (store_calls(fleet) - calls_before) / length,
    }


def fit(points):
    """Least-squares slope and intercept."""
    if len(points) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return {"slope_per_node": slope, "at_zero": mean_y - slope * mean_x}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("sizes", type=int, nargs="+")
    options = parser.parse_args()
    build = options.build.resolve()
    runs, limit = [], machine_memory() / 2
    for size in options.sizes:
        if runs and runs[-1]["resident_mb_max"] * 1e6 * size > limit:
            print(f"{size} nodes would need over half of the memory; left out",
                  file=sys.stderr)
            break
        with tempfile.TemporaryDirectory(prefix="magnolia-capacity-") as name:
            fleet = Fleet(build, size, pathlib.Path(name))
            try:
                fleet.start()
                runs.append(measure(fleet, options.seconds))
            finally:
                fleet.stop()
        print(json.dumps(runs[-1]), flush=True)
    figures = ("cpu_share_of_core", "resident_mb", "control_bytes_per_s",
               "store_calls_per_s")
    fits = {f: fit([(r["nodes"], r[f]) for r in runs if r[f] is not None])
            for f in figures}
    options.out.write_text(json.dumps({"runs": runs, "fits": fits}, indent=2)
                           + "\n")


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    main()
