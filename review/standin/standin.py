"""Stand-ins for the platform's store, the runners and the clients, by PROTOCOL.md.

Standard library only. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target", "release", "jujubelb-node")
HOLD_MAX_MS = 6000
STOP_MS = 200
HEARTBEAT_S = 1.5
GANG_MS = 3000
CHECKPOINT_S = 1.0
RESTORE_S = 0.25


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
    return method, url.path, query, headers, body


def encode_reply(status, body):
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


class Server:
    """HTTP/1.1 server. `handle` is a coroutine that returns a status and a body, or None to
    leave the connection open without an answer."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server, self.writers = None, set()
        # Connections of an earlier life of the machine stay open, and get no answer.
        self.life, self.silent = 0, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=200)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        life = self.life
        try:
            while True:
                request = await read_request(reader)
                reply = None
                if life == self.life and not self.silent:
                    reply = await self.handle(*request)
                if reply is None or life != self.life:
                    await reader.read()
                    break
                writer.write(encode_reply(*reply))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Stops listening and resets all connections, as a crash of the process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's key-value store: linearizable, with leases, watches and history."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}  # key -> (value text, revision, created, lease)
        self.history = []  # (revision, event)
        self.leases = {}  # lease -> (ttl, end)
        self.changed = asyncio.Condition()
        # Called with the node's name and a transaction; returns None to pass, or the seconds
        # after which the transaction is carried out without an answer.
        self.delay_txn = lambda node, body: None

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def event(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision, "created": created, "lease": lease}

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, self.event(key)))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self.history.append((self.revision, event))

    async def write(self, key, value):
        """A write of the operator or of a runner."""
        self.revision += 1
        if value is None:
            self.delete(key)
        else:
            self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
        await self.wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if now >= end:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.delete(key)
            await self.wake()
        return True

    async def txn(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                items = [self.event(r["key"]) for r in body["expected"] if r["key"] in self.items]
                return 412, {"items": items}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease") or 0)
        for key in body.get("deletes", []):
            self.delete(key)
        await self.wake()
        return 200, {"revision": self.revision}

    async def handle(self, node, method, path, query, headers, body):
        if path == "/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, {**self.event(key), "store_revision": self.revision}
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            items = [self.event(k) for k in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "store_revision": self.revision}
        if path == "/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for r, e in self.history if r > after and e["key"].startswith(query["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            txn = json.loads(body)
            delay = self.delay_txn(node, txn)
            if delay is not None:
                keys = [p["key"] for p in txn.get("puts", [])]
                self.record.add(f"store: write of {keys} by {node} gets no answer, carried out {delay} s later")
                asyncio.ensure_future(self.late(delay, txn))
                return None
            return await self.txn(txn)
        if path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            lease = random.getrandbits(40) + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            return (200 if await self.end_lease(int(path.rsplit("/", 1)[1])) else 404), {}
        return 400, {}

    async def late(self, delay, txn):
        await asyncio.sleep(delay)
        status, _ = await self.txn(txn)
        self.record.add(f"store: late write of {[p['key'] for p in txn.get('puts', [])]}: {status}")


class Runner:
    """One place for a runner. A crash ends its incarnation; it starts again under its id."""

    def __init__(self, fleet, name, ip, port, zone, labels, cpu):
        self.fleet, self.name, self.zone, self.labels, self.cpu = fleet, name, zone, labels, cpu
        self.ip, self.port = ip, port
        self.server = Server(ip, port, self.handle)
        self.up, self.down_since = False, time.monotonic()

    async def start(self, clock_s=None):
        self.born = int(time.time() * 1000)
        # A new life's clock starts anew; the first lives have been up for a while.
        self.clock_base = time.monotonic() - (random.uniform(200, 500) if clock_s is None else clock_s)
        self.token, self.deadline, self.number = 0, 0, 0
        self.running, self.finished, self.ended = {}, [], {}
        self.sequence, self.last_hold = 0, 0.0
        self.changed = asyncio.Condition()
        self.server.silent = False
        if not self.server.server:
            await self.server.start()
        self.up = True
        self.fleet.record.add(f"{self.name}: up, born {self.born}")
        await self.register()

    async def crash(self, dark=False):
        """Ends the incarnation. If the machine goes dark, nothing resets its connections."""
        self.up = False
        if dark:
            self.server.life += 1
            self.server.silent = True
        else:
            self.server.stop()
        for task, run in self.running.items():
            run["timer"].cancel()
            self.fleet.lost.append((task, run["run"], self.name))
            self.fleet.record.add(f"{self.name}: crash ends {task} run {run['run']}, {time.monotonic() - run['since']:.3f} s after its start")
        self.fleet.record.add(f"{self.name}: crashed")
        crashed, self.running = self.running, {}
        self.down_since = time.monotonic()
        for task, run in crashed.items():
            if "gang" in run:
                await run["gang"].leave(task)

    def cut(self):
        """Partitions the runner from all hosts: it runs on, and nothing answers or resets its
        connections. It still reaches the store."""
        self.server.life += 1
        self.server.silent = True
        self.fleet.record.add(f"{self.name}: cut off")

    def heal(self):
        self.server.silent = False
        self.fleet.record.add(f"{self.name}: reachable again")

    async def register(self):
        self.sequence += 1
        entry = {
            "service": "svc", "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
            "capacity": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
            "room": {"cpu": self.cpu, "mem_mb": 64000, "gpu": 0}, "labels": self.labels,
            "clock_ms": self.clock(), "born": self.born, "machine": f"m-{self.name}",
        }
        await self.fleet.store.write(f"servers/{self.name}", entry)

    async def beat(self):
        """Heartbeats; the entry is removed after three intervals of silence."""
        listed = True
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up:
                await self.register()
                listed, self.down_since = True, time.monotonic()
            elif listed and time.monotonic() - self.down_since > 3 * HEARTBEAT_S:
                await self.fleet.store.write(f"servers/{self.name}", None)
                listed = False

    def clock(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    async def lapse(self):
        while True:
            await asyncio.sleep(0.02)
            if self.up and self.running and self.clock() > self.deadline:
                for task in list(self.running):
                    await self.end(task, "lapsed")

    async def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.number += 1
        gang = run.get("gang")
        self.finished.append([self.number, task, run["run"], how, gang.saved if gang else ""])
        self.ended[task] = max(self.ended.get(task, 0), run["run"])
        self.fleet.ends.append((time.monotonic(), task, run["run"], how))
        self.fleet.record.add(f"{self.name}: {task} run {run['run']} ends {how}" + (f" saved {gang.saved!r}" if gang else ""))
        if gang:
            await gang.leave(task)
        async with self.changed:
            self.changed.notify_all()

    async def finish_later(self, task, seconds, how):
        await asyncio.sleep(seconds)
        # The timer of the run is this task, which must not cancel itself.
        if task in self.running:
            self.running[task]["timer"] = asyncio.ensure_future(asyncio.sleep(0))
        await self.end(task, how)

    def extend(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.name:
            return 421, {}
        call = json.loads(body)
        token = call.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self.start_run(call)
        if path == "/run-stop":
            task, run = call["task"], call["run"]
            there = self.running.get(task)
            if there and there["run"] == run:
                there["timer"].cancel()
                there["timer"] = asyncio.ensure_future(self.finish_later(task, STOP_MS / 1000, "stopped"))
            else:
                self.ended[task] = max(self.ended.get(task, 0), run)
            return 200, {"clock_ms": self.clock()}
        if path == "/pace":
            return 200, {"clock_ms": self.clock()}
        if path == "/hold":
            self.last_hold = time.monotonic()
            acknowledged = call.get("acknowledged", 0)
            self.finished = [row for row in self.finished if row[0] > acknowledged]
            self.extend(call.get("deadline_ms"))
            wait = call.get("wait_ms", 0) / 1000
            if wait and not self.finished:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait)
                    except asyncio.TimeoutError:
                        pass
            running = [[t, r["run"], r["gang"].saved if "gang" in r else "", self.percent(r), 100]
                       for t, r in self.running.items()]
            return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                         "finished": self.finished[:500]}
        return 400, {}

    def percent(self, run):
        if run["work"] is None:
            return 100
        if "gang" in run:
            return min(99, int(100 * run["gang"].progress / run["work"]))
        return min(99, int(100 * (time.monotonic() - run["since"]) / run["work"]))

    def start_run(self, call):
        task, run = call["task"], call["run"]
        reply = {"clock_ms": self.clock()}
        there = self.running.get(task)
        if there and there["run"] == run:
            return 200, reply
        if call["deadline_ms"] < self.clock():
            return 409, {**reply, "reason": "late"}
        self.extend(call["deadline_ms"])
        if run <= self.ended.get(task, 0) or there:
            return 409, {**reply, "reason": "old"}
        used = sum(r["cpu"] for r in self.running.values())
        spec = json.loads(call["spec"])
        if used + spec["cpu"] > self.cpu:
            return 409, {**reply, "reason": "room"}
        if spec.get("gang"):
            return self.start_member(task, run, spec, call.get("checkpoint", ""), reply)
        work = spec.get("work_s")
        wait = self.finish_later(task, work, "done") if work else asyncio.sleep(3600)
        timer = asyncio.ensure_future(wait)
        self.running[task] = {"run": run, "cpu": spec["cpu"], "since": time.monotonic(), "work": work, "timer": timer}
        self.fleet.starts.append((time.monotonic(), task, run, self.name))
        self.fleet.record.add(f"{self.name}: starts {task} run {run}")
        return 200, reply


    def start_member(self, task, run, spec, checkpoint, reply):
        """Starts a member of a gang. It works once all members of the run are present."""
        gang = self.fleet.gang(task, run, spec)
        timer = asyncio.ensure_future(self.wait_for_others(task, gang))
        self.running[task] = {"run": run, "cpu": spec["cpu"], "since": time.monotonic(), "work": spec["work_s"],
                              "timer": timer, "gang": gang}
        self.fleet.starts.append((time.monotonic(), task, run, self.name))
        self.fleet.record.add(f"{self.name}: starts {task} run {run} checkpoint {checkpoint!r}")
        gang.join(task, self, checkpoint)
        return 200, reply

    async def wait_for_others(self, task, gang):
        await asyncio.sleep(GANG_MS / 1000)
        if not gang.working and task in self.running:
            self.running[task]["timer"] = asyncio.ensure_future(asyncio.sleep(0))
            await self.end(task, "alone")


class Gang:
    """One run of a gang. Its members work together from the moment when all are present and
    carry the same checkpoint, and end together."""

    def __init__(self, fleet, spec):
        self.fleet, self.size, self.work_s = fleet, spec["gang"], spec["work_s"]
        self.members, self.working, self.saved = {}, False, ""
        self.progress = 0.0

    def join(self, task, runner, checkpoint):
        self.members[task] = (runner, checkpoint)
        values = {value for _, value in self.members.values()}
        if len(self.members) == self.size and len(values) == 1:
            self.working, self.saved = True, checkpoint
            self.progress = int(checkpoint, 16) / 1000 if checkpoint else 0.0
            self.timer = asyncio.ensure_future(self.work())

    async def work(self):
        if self.saved:
            await asyncio.sleep(RESTORE_S)
        while self.progress < self.work_s:
            await asyncio.sleep(CHECKPOINT_S)
            self.progress += CHECKPOINT_S
            self.saved = f"{int(self.progress * 1000):016x}"
        self.working = False
        for task, (runner, _) in list(self.members.items()):
            await runner.end(task, "done")

    async def leave(self, task):
        """A member has ended: the others end as broken."""
        self.members.pop(task, None)
        if self.working:
            self.working = False
            self.timer.cancel()
            for other, (runner, _) in list(self.members.items()):
                await runner.end(other, "broken")


class Deployment:
    """The store, the runners and the processes of the system."""

    def __init__(self, case_dir, hosts=3, runners=6, cpu=16000, labels=None):
        self.record = Record(os.path.join(case_dir, "record.txt"))
        self.store = Store(self.record)
        self.net = f"127.{random.randint(100, 249)}.{random.randint(1, 249)}"
        self.hosts = [f"{self.net}.{10 + i}" for i in range(hosts)]
        self.processes, self.servers = {}, []
        self.starts, self.ends, self.lost, self.gangs = [], [], [], {}
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.runners = []
        for i in range(runners):
            own = labels(i) if labels else ["a", f"r-{i % 3}"]
            self.runners.append(Runner(self, f"i-{i}", f"{self.net}.{110 + i}", 9000, f"z{i % 3}", own, cpu))

    async def start(self):
        for i in range(len(self.hosts)):
            handle = lambda *request, node=f"h{i}": self.store.handle(node, *request)
            server = Server(f"{self.net}.{60 + i}", 8169, handle)
            await server.start()
            self.servers.append(server)
        asyncio.ensure_future(self.store.expire())
        for runner in self.runners:
            await runner.start()
            asyncio.ensure_future(runner.beat())
            asyncio.ensure_future(runner.lapse())
        await self.store.write("op/config", {
            "version": 1,
            "routes": [{"name": "r-1", "host": "q.example", "prefix": "/jobs/", "kind": "unsafe", "timeout_ms": 3000,
                        "target_duration_ms": 1000, "priority": 0, "service": "svc", "max_attempts": 4,
                        "slack_factor": 2.0, "allowed_regions": []}],
            "services": [{"name": "svc", "health_path": "/healthz", "max_connections": 64, "protocol": "h1",
                          "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": True,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
        })
        for i in range(len(self.hosts)):
            self.start_process(i)
        for i in range(len(self.hosts)):
            for _ in range(150):
                status, _ = await self.call(i, "GET", "/readyz", port=8167)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"h{i} does not become ready")
        await asyncio.sleep(3)

    def start_process(self, i):
        ip = self.hosts[i]
        path = os.path.join(self.dir, f"h{i}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=f"h{i}", ip=ip, zone=f"z{i % 3}", seed=self.hosts[0],
                                       store=f"{self.net}.{60 + i}:8169"))
        log = open(os.path.join(self.dir, f"h{i}.log"), "a", encoding="utf-8")
        keep = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.processes[i] = subprocess.Popen([NODE, "--metrics-port", "9464"], cwd=ROOT, stdout=log, stderr=log,
                                             env={**keep, "JUJUBELB_BOOT": path})
        self.record.add(f"h{i}: process started")

    async def call(self, host, method, path, body=None, port=8161, timeout=3.5):
        """One request of a client. Returns the status and the body; status 0 for no answer."""
        async def exchange():
            reader, writer = await asyncio.open_connection(self.hosts[host], port)
            try:
                data = json.dumps(body).encode() if body is not None else b""
                head = (f"{method} {path} HTTP/1.1\r\nHost: q.example\r\nContent-Type: application/json\r\n"
                        f"Deadline-Ms: 3000\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
                answer = await reader.read()
            finally:
                writer.close()
            head, _, rest = answer.partition(b"\r\n\r\n")
            return (int(head.split(b" ")[1]) if head else 0), rest.decode(errors="replace")
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, ""

    async def client(self, host, method, job, body=None):
        self.record.add(f"client: {method} {job} sent to h{host}")
        status, text = await self.call(host, method, f"/jobs/{job}", body)
        self.record.add(f"client: {method} {job} answered {status} {text}")
        try:
            return status, json.loads(text) if text else {}
        except ValueError:
            return status, {}

    def gang(self, task, run, spec):
        key = (task.rsplit(".", 1)[0], run)
        if key not in self.gangs:
            self.gangs[key] = Gang(self, spec)
        return self.gangs[key]

    def end(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


SETTINGS = """node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "home"
internal_ports = [7720, 7735]
seeds = ["{seed}:8166"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "places", "platform"]
orders = "invocation"
advice = ""
[bind_addresses]
frontend = "{ip}:8161"
readiness = "{ip}:8167"
control_plane = "{ip}:8166"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 2500
grace_s = 6
config_ms = 2500
evacuation_ms = 5000
hold_max_ms = 6000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_interval_s = 1
restore_ms = 250
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def play(case, case_dir, **layout):
    """Runs a case: a coroutine that takes the deployment and whether there is trouble, and
    returns whether the rule was broken. Exits with 1, 0, or 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(case_dir, **layout)
        try:
            await deployment.start()
            return await asyncio.wait_for(case(deployment, trouble), 105)
        finally:
            deployment.end()

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        broken = asyncio.run(run())
    except BaseException as error:  # also when the script is stopped
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("rule broken" if broken else "rule kept")
    sys.exit(1 if broken else 0)
