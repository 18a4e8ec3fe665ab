"""Stand-ins for the platform's store, backends and clients, and a small fleet of boragepier.

The store and the backends speak what the platform's protocol page describes, as far as the cases
need it. All addresses are loopback addresses.
"""

import base64
import http.client
import http.server
import json
import os
import random
import signal
import socket
import socketserver
import subprocess
import threading
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "apps", "boragepier", "boragepier")
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


TAKEN_PORTS = set()


def free_port(address="127.0.0.1"):
    """A port that is free now, outside the range from which outgoing connections get theirs."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        if port in TAKEN_PORTS:
            continue
        TAKEN_PORTS.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", **headers):
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), str(value))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Store:
    """The platform's metadata store: rows, conditions, and a feed of changes."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}  # (table, key) -> (value, row_version)
        self.changes = []  # (row_version, table, key, value or None)
        self.version = 100
        self.oldest = 100  # changes after this version are known
        self.era = 1
        self.away = False
        self.copies = []  # (time, rows, version)
        self.calls = []  # (time, caller, path) of each call
        self.refused = set()  # callers that are turned away with 503
        self.servers = {}  # by caller
        self.gone = set()  # callers whose address was given up
        self.address = self.listen("")

    def listen(self, caller):
        """Returns an address of the store. Calls to it count as those of the caller named."""
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.on_call(self, caller, b"")

            def do_POST(self):
                store.on_call(self, caller, self.body())

        server = Server(("127.0.0.1", 0), StoreHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.servers[caller] = server
        return f"127.0.0.1:{server.server_address[1]}"

    def stop_listening(self, caller):
        """Gives up the address of a caller: its connections end, and new ones are refused."""
        with self.lock:
            self.gone.add(caller)
            self.lock.notify_all()
        self.servers[caller].shutdown()
        self.servers[caller].server_close()

    def refuse(self, callers):
        """Turns some machines away, and serves the others."""
        with self.lock:
            self.refused = set(callers)
            self.lock.notify_all()

    # What the operator, the backends and the script do.

    def write(self, table, key, value):
        with self.lock:
            self._set(table, key, value)
            self.lock.notify_all()

    def remove(self, table, key):
        with self.lock:
            if (table, key) in self.rows:
                self._set(table, key, None)
                self.lock.notify_all()

    def read(self, table, key):
        with self.lock:
            row = self.rows.get((table, key))
            return row[0] if row else None

    def copy(self):
        """A copy, as the platform makes for its drills."""
        with self.lock:
            self.copies.append((now(), dict(self.rows), self.version))

    def go_away(self):
        with self.lock:
            self.away = True
            self.lock.notify_all()

    def restore(self):
        """Comes back from the newest copy: versions go back, and the era rises by one."""
        with self.lock:
            _, self.rows, self.version = self.copies[-1]
            self.rows = dict(self.rows)
            self.changes = []
            self.oldest = self.version
            self.era += 1
            self.away = False
            self.lock.notify_all()

    def _set(self, table, key, value):
        self.version += 1
        if value is None:
            del self.rows[(table, key)]
        else:
            self.rows[(table, key)] = (value, self.version)
        self.changes.append((self.version, table, key, value))

    # Calls of the system.

    def on_call(self, handler, caller, body):
        path, _, query = handler.path.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        with self.lock:
            self.calls.append((now(), caller, path))
            era = self.era
            if self.away or caller in self.gone:
                handler.close_connection = True
                return
        time.sleep(0.004)
        if caller in self.refused:
            result = (503, {})
        elif path == "/v1/rows-get":
            result = self.rows_get(arguments)
        elif path == "/v1/rows-feed":
            result = self.rows_feed(arguments, caller)
        elif path == "/v1/rows-tx":
            result = self.rows_tx(json.loads(body))
        else:
            result = (404, {})
        with self.lock:
            # A store that goes away takes the calls with it that it has not answered.
            if self.away or self.era != era or result is None:
                handler.close_connection = True
                return
        status, answer = result
        handler.answer(status, json.dumps(answer).encode(), Content_Type="application/json",
                       Store_Era=era)

    def _stamp(self, answer):
        answer["row_version"] = self.version
        answer["now_ms"] = int(now() * 1000) + 50000
        return answer

    @staticmethod
    def _row(table, key, value, version):
        return {"table": table, "part": "", "key": key,
                "value": base64.b64encode(value.encode()).decode(), "row_version": version}

    def rows_get(self, arguments):
        with self.lock:
            rows = [self._row(table, key, value, version)
                    for (table, key), (value, version) in sorted(self.rows.items())
                    if table == arguments["table"] and key >= arguments.get("from", "")]
            return 200, self._stamp({"rows": rows[:500], "has_more": len(rows) > 500})

    def rows_feed(self, arguments, caller):
        after = int(arguments["after"])
        end = time.monotonic() + min(30000, int(arguments.get("wait_ms", 0))) / 1000
        with self.lock:
            era = self.era
            while not self.away and self.era == era:
                if caller in self.refused:
                    return 503, {}
                if caller in self.gone:
                    return None
                if after < self.oldest or after > self.version:
                    return 410, self._stamp({})
                newest = {}
                for version, table, key, value in self.changes:
                    if version > after and table == arguments["table"]:
                        newest[key] = (version, value)
                rows = []
                for key, (version, value) in sorted(newest.items(), key=lambda item: item[1][0]):
                    row = self._row(arguments["table"], key, value or "", version)
                    if value is None:
                        del row["value"]
                        row["deleted"] = True
                    rows.append(row)
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self._stamp({"rows": rows})
                self.lock.wait(left)
            return None

    def rows_tx(self, call):
        with self.lock:
            expected = call.get("expected", [])
            current = [self.rows.get((row["table"], row["key"]), ("", 0))[1] for row in expected]
            if current != [row["row_version"] for row in expected]:
                return 412, self._stamp({"rows": []})
            for row in call.get("writes", []):
                if row["table"] in ("op", "servers"):
                    return 403, self._stamp({})
                self._set(row["table"], row["key"], base64.b64decode(row["value"]).decode())
            for row in call.get("remove", []):
                if (row["table"], row["key"]) in self.rows:
                    self._set(row["table"], row["key"], None)
            self.lock.notify_all()
            return 200, self._stamp({})


class Backend:
    """A backend with some slots that tells its load and echoes the id of each request."""

    def __init__(self, store, record, name, service, zone, slots=2, work_s=0.02, on_run=None):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.zone, self.slots, self.work_s, self.on_run = zone, slots, work_s, on_run
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.lock = threading.Condition()
        self.running = 0
        self.waiting = 0
        self.stopped = False
        backend = self

        class BackendHandler(Handler):
            def do_GET(self):
                backend.on_request(self, b"")

            def do_POST(self):
                backend.on_body(self)

        self.server = Server(("127.0.0.1", 0), BackendHandler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        return json.dumps({
            "address": self.address, "born": self.born,
            "information": {"service": self.service, "version": "v1", "zone": self.zone,
                            "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_ms": 0}})

    def beat(self):
        """Writes its entry at intervals. The row changes when more than the sequence does."""
        while not self.stopped:
            self.write_entry()
            time.sleep(1.5)

    def write_entry(self):
        if self.store.away:
            return
        self.sequence += 1
        known = self.store.read("servers", self.name)
        same = known and json.loads(known)["status"]["state"] == self.state and \
            json.loads(known)["born"] == self.born
        if not same:
            self.store.write("servers", self.name, self.entry())

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    def on_body(self, handler):
        """A request with a body, which is not read yet."""
        self.on_request(handler, handler.body())

    def on_request(self, handler, body):
        leaving = {"Server_Leaving": "1"} if self.state == "draining" else {}
        if handler.path == "/health":
            handler.answer(503 if leaving else 200, Instance_Id=self.name,
                           Server_Load=self.load(), **leaving)
            return
        attempt = handler.headers.get("Attempt-Id", "")
        expected = handler.headers.get("Expected-Instance")
        if expected and expected != self.name:
            handler.answer(421, Instance_Id=self.name, Attempt_Id=attempt)
            return
        with self.lock:
            self.waiting += 1
            while self.running >= self.slots:
                self.lock.wait()
            self.waiting -= 1
            self.running += 1
        self.record.write(f"{self.name} ({self.service}) runs {attempt} "
                          f"{handler.command} {handler.path}")
        if self.on_run:
            self.on_run(self, attempt, handler)
        time.sleep(self.work_s)
        with self.lock:
            load = self.load()
            self.running -= 1
            self.lock.notify_all()
        handler.answer(200, f"{self.name} {attempt}".encode(), Attempt_Id=attempt,
                       Server_Signature=f"sig.{attempt}", Server_Load=load, **leaving)


SETTINGS = """[instance]
id = {name}
zone = {zone}
processor-cores = 0.2
link-mbps = 1000.0
file-descriptors = 4100
memory-mb = 260
[listen]
caller = 127.0.0.1:{caller}
admin = 127.0.0.1:{admin}
peer-address = 127.0.0.1
peer-port = {peer}
[store]
address = {store}
[fleet]
retry-ratio = 0.2
retry-slack = 56
retry-window-s = 10
heartbeat-ms = 1500
probes-per-upstream-s = 60
{fleet}first-start = {first}
[traffic]
drain-grace-ms = 3000
drain-limit-s = 6
drain-margin-ms = 300
max-connections = 1600
[log]
level = info
output = stdout
"""


INSTANCES = []


def run_case(main):
    """Runs a case and ends the process with its result. Instances are ended in any case, also if
    the script is stopped by a signal or fails."""

    def stop(number, frame):
        raise SystemExit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    code = 2
    try:
        code = main()
    except BaseException:  # noqa: B902
        traceback.print_exc()
    finally:
        for instance in INSTANCES:
            instance.kill()
    os._exit(code)


class Instance:
    """One process of boragepier."""

    def __init__(self, folder, name, zone, store, fleet=""):
        """store: address of the store for this instance"""
        self.name, self.zone = name, zone
        self.ports = dict(caller=free_port(), admin=free_port(), peer=free_port())
        self.settings = os.path.join(folder, name + ".ini")
        self.log = os.path.join(folder, name + ".log")
        self.fields = dict(name=name, zone=zone, store=store, fleet=fleet, **self.ports)
        self.process = None
        INSTANCES.append(self)
        self.start(True)

    def start(self, first):
        self.write_settings(first)
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([PROGRAM], stdout=log, stderr=log, cwd=ROOT,
                                            env={"BORAGEPIER_SETTINGS": self.settings,
                                                 "PATH": "/usr/bin:/bin"})

    def write_settings(self, first, **changes):
        self.fields.update(changes)
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(first="true" if first else "false", **self.fields))
        os.rename(self.settings + ".new", self.settings)

    def ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ports["admin"], timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.ready():
                return True
            time.sleep(0.05)
        return False

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Client:
    """Sends requests on connections of its own, one at a time on each."""

    def __init__(self, record):
        self.record = record
        self.random = random.Random(1)

    def id(self):
        return f"{self.random.getrandbits(64):016x}"

    def send(self, instance, method, host, path, deadline_ms, body=None, headers=None, attempt=None):
        """Returns (id, time sent, status or None, body)."""
        attempt = attempt or self.id()
        fields = {"Host": host, "Attempt-Id": attempt, "Request-Deadline": str(deadline_ms)}
        fields.update(headers or {})
        sent = now()
        self.record.write(f"client sends {attempt} {method} {path} to {instance.name}")
        try:
            connection = http.client.HTTPConnection("127.0.0.1", instance.ports["caller"],
                                                    timeout=deadline_ms / 1000)
            connection.request(method, path, body=body, headers=fields)
            response = connection.getresponse()
            data = response.read()
            status = response.status
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            status, data = None, type(error).__name__.encode()
        self.record.write(f"client gets {status} for {attempt} from {instance.name}")
        return attempt, sent, status, data


def configuration(version, routes, services, **more):
    """routes: list of (name, prefix, kind, service)"""
    return json.dumps({
        "version": f"{version:08x}",
        "routes": [{"name": name, "host": "shop.example", "prefix": prefix, "kind": kind,
                    "timeout_ms": 2500, "target_latency_ms": 800, "priority": 1,
                    "service": service, "max_attempts": 2, **extra}
                   for name, prefix, kind, service, extra in routes],
        "services": [{"name": name, "health_path": "/health", "connection_limit": 220,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}, **more})
