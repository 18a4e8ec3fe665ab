"""Stand-ins for the platform of the users' pages: store, backends, callers and a loopback proxy.

They speak HTTP/1.1 as PROTOCOL.md describes it and run in one asyncio loop. The instances of
boragepier run as separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import types
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/apps/boragepier/boragepier"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOOPBACK = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes record.txt: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Returns (start line, headers with lower-case names, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def response(status, headers=(), body=b"", reason="x"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """An HTTP server on a loopback port; on_request() returns the bytes of the answer."""

    def __init__(self):
        self.port = None
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.connection(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def connection(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            writer.write(await self.on_request(*message))
            await writer.drain()

    def stop(self):
        """Stops listening and closes all connections, like a process that ends."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store(Server):
    """The platform's metadata store: rows, transactions and the feed of changes."""

    TRANSACTION_S = 0.008

    def __init__(self):
        super().__init__()
        self.version = 100
        self.rows = {}  # (table, part, key) -> row
        self.changes = []
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        """A write of the operator or of a backend; acknowledged when this returns."""
        await self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())], [])

    async def drop(self, table, key):
        await self.apply([], [(table, "", key)])

    async def apply(self, writes, removals):
        async with self.changed:
            self.version += 1
            for table, part, key, value in writes:
                row = {"table": table, "part": part, "key": key, "value": value,
                       "row_version": self.version}
                self.rows[(table, part, key)] = row
                self.changes.append(row)
            for table, part, key in removals:
                self.rows.pop((table, part, key), None)
                self.changes.append({"table": table, "part": part, "key": key, "deleted": True,
                                     "row_version": self.version})
            self.changed.notify_all()

    def answer(self, status, **body):
        body["row_version"] = self.version
        body["now_ms"] = int(time.monotonic() * 1000)
        return response(status, [("Content-Type", "application/json")], json.dumps(body).encode())

    def changes_after(self, table, after):
        last = {}
        for row in self.changes:
            if row["table"] == table and row["row_version"] > after:
                last.pop(row["key"], None)
                last[row["key"]] = row
        return list(last.values())

    async def on_request(self, start, headers, body):
        method, target, _ = start.split(" ", 2)
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if (method, path) == ("GET", "/v1/rows-get"):
            rows = sorted((row for (table, part, key), row in self.rows.items()
                           if table == args["table"] and part == args.get("part", "")
                           and key >= args.get("from", "")
                           and ("target" not in args or key < args["target"])),
                          key=lambda row: row["key"].encode())
            limit = min(500, int(args.get("limit", 500)))
            return self.answer(200, rows=rows[:limit], has_more=len(rows) > limit)
        if (method, path) == ("GET", "/v1/rows-feed"):
            table, after = args["table"], int(args["after"])
            end = time.monotonic() + min(30.0, int(args["wait_ms"]) / 1000)
            async with self.changed:
                while not (rows := self.changes_after(table, after)):
                    left = end - time.monotonic()
                    if left <= 0:
                        break
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        break
            return self.answer(200, rows=rows)
        if (method, path) == ("POST", "/v1/rows-tx"):
            await asyncio.sleep(self.TRANSACTION_S)
            call = json.loads(body)
            entries = call["writes"] + call["remove"]
            if any(entry["table"] in ("op", "servers") for entry in entries):
                return self.answer(403)
            wrong = [entry for entry in call["expected"]
                     if self.rows.get((entry["table"], entry.get("part", ""), entry["key"]),
                                      {"row_version": 0})["row_version"] != entry["row_version"]]
            if wrong:
                return self.answer(412, rows=[])
            await self.apply([(e["table"], e.get("part", ""), e["key"], e["value"])
                              for e in call["writes"]],
                             [(e["table"], e.get("part", ""), e["key"]) for e in call["remove"]])
            return self.answer(200)
        return self.answer(404)


class Proxy:
    """Forwards TCP connections. While it is cut, bytes are held up in both directions, new
    connections too, as behind a partition; what is held up arrives when the cut heals."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.open = asyncio.Event()
        self.open.set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            other_reader, other_writer = await asyncio.open_connection(LOOPBACK, self.target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            await self.open.wait()
            writer.close()


class Backend(Server):
    """A backend: runs `slots` requests at once, queues a few more and rejects the rest."""

    def __init__(self, record, store, name, service, zone="zone-a", slots=2, queue=8, work_s=0.05,
                 load_header=True):
        super().__init__()
        self.record, self.store, self.name, self.service, self.zone = (
            record, store, name, service, zone)
        self.slots, self.queue, self.work_s, self.load_header = slots, queue, work_s, load_header
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []  # (arrival in seconds, attempt id, instance that sent it)
        self.unfinished = set()  # ids of the requests at work

    async def register(self):
        self.sequence += 1
        await self.store.put("servers", self.name, {
            "address": f"{LOOPBACK}:{self.port}", "born": self.born,
            "information": {"service": self.service, "version": "v1", "zone": self.zone,
                            "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_ms": 0}})

    def load(self):
        return ([("Server-Load", f"{self.running},{self.waiting},{self.slots},100")]
                if self.load_header else [])

    async def take_slot(self):
        if self.running >= self.slots and self.waiting >= self.queue:
            return False
        async with self.free:
            self.waiting += 1
            while self.running >= self.slots:
                await self.free.wait()
            self.waiting -= 1
            self.running += 1
        return True

    async def free_slot(self):
        async with self.free:
            self.running -= 1
            self.free.notify()

    async def on_request(self, start, headers, body):
        method, target, _ = start.split(" ", 2)
        if target == "/health":
            if self.load_header:
                return response(200, [("Instance-Id", self.name), *self.load()])
            if not await self.take_slot():
                return response(503, [("Not-Executed", "1"), ("Instance-Id", self.name)])
            await self.free_slot()
            return response(200, [("Instance-Id", self.name)])
        attempt = headers.get("attempt-id", "")
        echo = [("Attempt-Id", attempt), *self.load()]
        if headers.get("expected-instance", self.name) != self.name:
            return response(421, [("Instance-Id", self.name), ("Attempt-Id", attempt)])
        if not attempt:
            return response(400, [("Not-Executed", "1")])
        arrived = self.record.now()
        if not await self.take_slot():
            self.record(f"{self.name} rejects {attempt}: 503 Not-Executed")
            return response(503, [*echo, ("Not-Executed", "1")])
        self.runs.append((arrived, attempt, headers.get("x-sent-to", "?")))
        self.record(f"{self.name} runs {attempt} (sent to {headers.get('x-sent-to', '?')})")
        self.unfinished.add(attempt)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            await self.free_slot()
        self.unfinished.discard(attempt)
        return response(200, [("Attempt-Id", attempt), *self.load(),
                              ("Server-Signature", f"sig.{self.name}.{attempt}")],
                        f"done {attempt} at {self.name}".encode())


class Instance:
    """A process of boragepier with settings like those of the template deploy/instance.ini."""

    def __init__(self, record, folder, name, store_port, zone="zone-a", first_start=True):
        self.record, self.name, self.zone, self.store_port = record, name, zone, store_port
        self.caller, self.admin, self.peer = free_port(), free_port(), free_port()
        self.path = pathlib.Path(folder) / f"{name}.ini"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.first_start = first_start
        self.process = None

    async def start(self):
        self.path.write_text(f"""[instance]
id = {self.name}
zone = {self.zone}
processor-cores = 0.2
link-mbps = 1000.0

[listen]
caller = {LOOPBACK}:{self.caller}
admin = {LOOPBACK}:{self.admin}
peer-address = {LOOPBACK}
peer-port = {self.peer}

[store]
address = {LOOPBACK}:{self.store_port}

[fleet]
retry-ratio = 0.2
retry-slack = 56
retry-window-s = 10
heartbeat-ms = 1500
probes-per-upstream-s = 60
first-start = {"true" if self.first_start else "false"}

[traffic]
drain-grace-ms = 3000
drain-limit-ms = 6000
drain-margin-ms = 300
max-connections = 2000

[log]
level = info
output = stdout
""", encoding="utf-8")
        self.first_start = False
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), env={"BORAGEPIER_SETTINGS": str(self.path), "PATH": os.defpath},
                cwd=ROOT, stdout=log, stderr=log)
        self.record(f"{self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self):
        code = await self.process.wait()
        self.record(f"{self.name} ended, exit code {code}")
        return code

    async def ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended: {self.log_path.read_text()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.admin)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message and message[0].split(" ")[1] == "200":
                    self.record(f"{self.name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready after {limit_s} s")

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


async def call(port, host, method, target, attempt, deadline_ms, sent_to, body=b"", limit_s=4.0):
    """Sends one request on a new connection. Returns (status, headers, body), with status 0 if the
    connection ended without a whole answer or the client's deadline passed."""
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        return 0, {}, b""
    try:
        head = (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\n"
                f"Request-Deadline: {deadline_ms}\r\nX-Sent-To: {sent_to}\r\n")
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        message = await asyncio.wait_for(read_message(reader), limit_s)
        if message is None:
            return 0, {}, b""
        return int(message[0].split(" ")[1]), message[1], message[2]
    except (OSError, asyncio.TimeoutError):
        return 0, {}, b""
    finally:
        writer.close()


def config(version, routes, services):
    return {"version": f"{version:08x}", "routes": routes,
            "services": [{"name": name, "health_path": "/health", "connection_limit": 220,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def route(name, host, prefix, kind, service, timeout_ms, max_attempts=2):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 800, "priority": 1, "service": service,
            "max_attempts": max_attempts}


def main(folder, case):
    """Runs case(record, temporary folder) -> whether the rule was broken, and exits with the code
    that the review asks for."""
    record = Record(folder)
    if not PROGRAM.exists():
        print(f"{PROGRAM} is missing; run the build of deploy/system.toml", file=sys.stderr)
        sys.exit(2)
    started = []
    folder_for_files = types.SimpleNamespace()

    async def run():
        loop = asyncio.get_running_loop()
        work = asyncio.create_task(case(record, folder_for_files.name, started))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, work.cancel)
        try:
            return await asyncio.wait_for(work, 112)
        finally:
            # First what could start a process again, then the processes.
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            for instance in started:
                instance.kill()
            for instance in started:
                if instance.process is not None:
                    await instance.process.wait()

    try:
        with tempfile.TemporaryDirectory() as name:
            folder_for_files.name = name
            broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # says nothing about the rule
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
