"""Stand-ins for the cases review/6 to review/10: the platform's store, backends, clients, and the
instances of boragepier as separate processes. They follow PROTOCOL.md; loopback addresses only."""

import base64
import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "apps", "boragepier", "boragepier")
TEMPLATE = os.path.join(ROOT, "deploy", "instance.ini")
START = time.monotonic()
USED_PORTS = set()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


def die_with_script():
    """Runs in an instance before its program: it ends when the script does, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        line = "%8.3f  %s" % (now(), text)
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_ports(count):
    """Returns free ports below those that the kernel gives to outgoing connections."""
    ports = []
    for _ in range(1000):
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports and port not in USED_PORTS:
            ports.append(port)
            if len(ports) == count:
                USED_PORTS.update(ports)
                return ports
    raise CannotRun("no free ports")


# --- HTTP/1.1 ---


class Connection:
    """One connection, read message by message."""

    def __init__(self, sock):
        self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def read_head(self):
        """Returns the first line and the header fields, with names in lower case."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def read_body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.buffer:
                    self._more()
                size, self.buffer = self.buffer.split(b"\r\n", 1)
                size = int(size, 16)
                while len(self.buffer) < size + 2:
                    self._more()
                body += self.buffer[:size]
                self.buffer = self.buffer[size + 2:]
                if size == 0:
                    return body
        length = int(fields.get("content-length", "0"))
        while len(self.buffer) < length:
            self._more()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return body

    def send(self, first, fields, body=b""):
        lines = [first] + ["%s: %s" % each for each in fields]
        if not any(name.lower() == "content-length" for name, _ in fields):
            lines.append("Content-Length: %d" % len(body))
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


class Server:
    """Listens on a loopback address and serves each connection in a thread."""

    def __init__(self, address="127.0.0.1"):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, 0))
        self.listener.listen(512)
        self.address, self.port = self.listener.getsockname()
        self.connections = set()
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        connection = Connection(sock)
        with self.lock:
            self.connections.add(connection)
        try:
            while True:
                first, fields = connection.read_head()
                method, target, _ = first.split(" ", 2)
                if not self.serve(connection, method, target, fields):
                    break
        except (OSError, EOFError, ValueError):
            pass
        with self.lock:
            self.connections.discard(connection)
        connection.close()

    def serve(self, connection, method, target, fields):
        raise NotImplementedError

    def reset_connections(self):
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# --- the platform's store ---


class Store:
    """Rows in memory, as PROTOCOL.md tells. The operator and the backends write with put()."""

    def __init__(self):
        self.condition = threading.Condition()
        self.rows = {}  # (table, key) -> (value or None if dropped, row_version)
        self.version = 100
        self.era = 0
        self.copy = None
        self.refused = set()  # doors whose calls get 503
        self.away = False

    def door(self, name):
        """One address of the store. The instances get one each, so that some can be turned away."""
        return StoreDoor(self, name)

    def put(self, table, key, value):
        """Writes a row. Returns when it is acknowledged, in seconds."""
        with self.condition:
            self.version += 1
            self.rows[(table, key)] = (value, self.version)
            self.condition.notify_all()
            return now()

    def take_copy(self):
        with self.condition:
            self.copy = (dict(self.rows), self.version)

    def restore(self):
        """Comes back from the copy: what was written since is gone, and versions are given out again."""
        with self.condition:
            self.rows, self.version = dict(self.copy[0]), self.copy[1]
            self.era += 1
            self.away = False
            self.condition.notify_all()

    def _row(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def read(self, table, start):
        with self.condition:
            rows = [self._row(t, k, v, n) for (t, k), (v, n) in sorted(self.rows.items())
                    if t == table and v is not None and k >= start]
            return {"rows": rows, "has_more": False, **self._tail()}

    def feed(self, table, after, wait_s, era):
        end = time.monotonic() + wait_s
        with self.condition:
            while True:
                if era != self.era or after > self.version:
                    return None
                rows = [self._row(t, k, v, n) for (t, k), (v, n) in self.rows.items()
                        if t == table and n > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda row: row["row_version"])
                    return {"rows": rows, **self._tail()}
                self.condition.wait(min(left, 0.5))

    def transact(self, body):
        with self.condition:
            for each in body.get("expected", []):
                known = self.rows.get((each["table"], each["key"]), (None, 0))
                if (known[1] if known[0] is not None else 0) != each["row_version"]:
                    return 412, {"rows": [], **self._tail()}
            self.version += 1
            for each in body.get("writes", []):
                self.rows[(each["table"], each["key"])] = (
                    base64.b64decode(each["value"]), self.version)
            for each in body.get("remove", []):
                self.rows[(each["table"], each["key"])] = (None, self.version)
            self.condition.notify_all()
            return 200, self._tail()

    def _tail(self):
        return {"row_version": self.version, "now_ms": int(1000 * now()) + 5000}


class StoreDoor(Server):
    def __init__(self, store, name):
        self.store = store
        self.name = name
        super().__init__()

    def serve(self, connection, method, target, fields):
        body = connection.read_body(fields)
        if self.store.away:
            return False
        era = self.store.era

        def answer(status, content):
            connection.send("HTTP/1.1 %d X" % status,
                            [("Content-Type", "application/json"),
                             ("Store-Era", str(self.store.era))], json.dumps(content).encode())
            return True

        if self.name in self.store.refused:
            return answer(503, {})
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        time.sleep(0.004)
        if method == "GET" and url.path == "/v1/rows-get":
            return answer(200, self.store.read(query["table"], query.get("from", "")))
        if method == "GET" and url.path == "/v1/rows-feed":
            content = self.store.feed(query["table"], int(query["after"]),
                                      int(query.get("wait_ms", "0")) / 1000, era)
            if self.store.away or (era != self.store.era and content is None):
                return False  # the store went away while it held the call
            if self.name in self.store.refused:
                return answer(503, {})
            return answer(200, content) if content is not None else answer(410, {})
        if method == "POST" and url.path == "/v1/rows-tx":
            return answer(*self.store.transact(json.loads(body)))
        return answer(404, {})


# --- backends ---


class Backend(Server):
    """A sound backend that registers itself, and records what it runs."""

    def __init__(self, store, record, service, ident, zone, slots=2, work_s=0.02):
        super().__init__()
        self.store, self.record = store, record
        self.service, self.ident, self.zone = service, ident, zone
        self.slots, self.work_s = slots, work_s
        self.room = threading.Semaphore(slots)
        self.running = 0
        self.count_lock = threading.Lock()
        self.runs = []  # (time, attempt id, method, target, tenant)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.alive = True
        threading.Thread(target=self._beat, daemon=True).start()

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.ident, json.dumps({
            "address": "%s:%d" % (self.address, self.port), "born": self.born,
            "information": {"service": self.service, "zone": self.zone, "version": "v1",
                            "slots": self.slots},
            "status": {"state": "ready", "sequence": self.sequence,
                       "cold_remaining_ms": 0}}).encode())

    def _beat(self):
        while self.alive:
            if not self.store.away:
                self.register()
            time.sleep(1.5)

    def load(self):
        return ("Server-Load", "%d,0,%d,100" % (min(self.running, self.slots), self.slots))

    def serve(self, connection, method, target, fields):
        body = connection.read_body(fields)
        if method == "GET" and target == "/health":
            connection.send("HTTP/1.1 200 OK", [("Instance-Id", self.ident), self.load()])
            return True
        attempt = fields.get("attempt-id", "")
        echo = [("Attempt-Id", attempt), self.load()]
        expected = fields.get("expected-instance")
        if expected and expected != self.ident:
            connection.send("HTTP/1.1 421 X", echo + [("Instance-Id", self.ident)])
            return True
        with self.count_lock:
            full = self.running >= self.slots + 8
            self.running += 0 if full else 1
        if full:
            connection.send("HTTP/1.1 503 X", echo + [("Not-Executed", "1")])
            return True
        try:
            with self.room:
                self.runs.append((now(), attempt, method, target, fields.get("tenant")))
                self.record("backend %s (%s) runs %s: %s %s host=%s body=%d bytes tenant=%s" % (
                    self.ident, self.service, attempt, method, target, fields.get("host"),
                    len(body), fields.get("tenant")))
                time.sleep(self.work_s)
        finally:
            with self.count_lock:
                self.running -= 1
        connection.send("HTTP/1.1 200 OK",
                        echo + [("Server-Signature", "sig-" + self.ident)],
                        ("done by %s for %s" % (self.ident, attempt)).encode())
        return True


# --- clients ---


class Client:
    """One client connection to an instance, kept open between requests."""

    serial = 0
    lock = threading.Lock()

    def __init__(self, record, instance):
        self.record, self.instance = record, instance
        self.connection = None

    def send(self, method, host, target, body=b"", deadline_ms=3000, fields=(), log=True):
        """Returns (attempt id, status or None, header fields, time sent)."""
        with Client.lock:
            Client.serial += 1
            attempt = "%016x" % (0xa000000000000000 + Client.serial)
        sent = now()
        status, answer = None, {}
        try:
            if self.connection is None:
                self.connection = Connection(
                    socket.create_connection(("127.0.0.1", self.instance.caller), timeout=5))
            self.connection.send("%s %s HTTP/1.1" % (method, target),
                                 [("Host", host), ("Attempt-Id", attempt),
                                  ("Request-Deadline", str(deadline_ms))] + list(fields), body)
            first, answer = self.connection.read_head()
            status = int(first.split(" ")[1])
            self.connection.read_body(answer)
            if answer.get("connection", "").lower() == "close":
                self.close()
        except (OSError, EOFError):
            self.close()
        if log:
            self.record("client -> %s: %s %s%s %s (%d bytes) -> %s signature=%s" % (
                self.instance.name, method, host, target, attempt, len(body), status,
                answer.get("server-signature")))
        return attempt, status, answer, sent

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


# --- instances ---


class Instance:
    """One process of boragepier, with the settings template of the deploy file."""

    def __init__(self, fleet, name, zone, door, link_mbps=1000.0, terms=None):
        self.fleet, self.name = fleet, name
        self.caller, self.ready, self.peer = free_ports(3)
        values = {
            "node": name, "zone": zone, "ip": "127.0.0.1",
            "limits.cpu_share": 0.2, "limits.link_mbps": link_mbps,
            "limits.file_descriptors": 4100, "limits.memory_mb": 260,
            "listen.front": "127.0.0.1:%d" % self.caller,
            "listen.ready": "127.0.0.1:%d" % self.ready,
            "internal_ports.0": self.peer,
            "platform.address": "127.0.0.1:%d" % door.port,
            "heartbeat_ms": 1500, "first_start": "false",
            "bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 56,
            "bounds.budget_window_s": 10, "bounds.probes_per_s": 60, "bounds.grace_s": 6,
        }
        values.update(terms or {})
        text = open(TEMPLATE, encoding="utf-8").read()
        for key, value in values.items():
            text = text.replace("{{%s}}" % key, str(value))
        while "{{" in text:
            head, rest = text.split("{{", 1)
            text = head + rest.split("}}", 1)[1]
        self.settings = os.path.join(fleet.folder, name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = open(os.path.join(fleet.folder, name + ".log"), "wb")
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BORAGEPIER_SETTINGS"] = self.settings
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=subprocess.STDOUT, preexec_fn=die_with_script)
        self.fleet.record("start of %s: front %d, ready %d, internal %d, process %d" % (
            self.name, self.caller, self.ready, self.peer, self.process.pid))

    def is_ready(self):
        try:
            connection = Connection(socket.create_connection(("127.0.0.1", self.ready), timeout=1))
            connection.send("GET /ready HTTP/1.1", [("Host", "ready")])
            first, _ = connection.read_head()
            connection.close()
            return " 200" in first
        except (OSError, EOFError):
            return False

    def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRun(self.name + " does not get ready")
            time.sleep(0.1)
        self.fleet.record(self.name + " is ready")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """What one run of a script uses; ends its processes."""

    def __init__(self, script):
        self.record = Record(os.path.dirname(os.path.abspath(script)))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record("disruption: " + ("yes" if self.trouble else "no (TROUBLE=0)"))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store()
        self.instances = []
        self.backends = []

    def instance(self, name, zone="zone-a", **options):
        door = self.store.door(name)
        made = Instance(self, name, zone, door, **options)
        made.door = door
        self.instances.append(made)
        return made

    def backend(self, service, ident, zone="zone-a", **options):
        made = Backend(self.store, self.record, service, ident, zone, **options)
        self.backends.append(made)
        return made

    def configure(self, version, routes, services, tenants=None, limits=None):
        """The operator writes a configuration. Returns when it was acknowledged."""
        config = {
            "version": "%08x" % version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "connection_limit": 220,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"header_bytes": 16384, "body_bytes": 1048576, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **(limits or {})},
        }
        if tenants is not None:
            config["tenants"] = tenants
        acknowledged = self.store.put("op", "config", json.dumps(config).encode())
        self.record("operator: configuration %08x acknowledged, routes %s%s" % (
            version, [(r["host"] + r["prefix"], r.get("service")) for r in routes],
            "" if limits is None else ", limits %s" % limits))
        return acknowledged

    def runs(self):
        return [(backend, run) for backend in self.backends for run in backend.runs]

    def end(self):
        for instance in self.instances:
            instance.kill()
        self.temporary.cleanup()


def route(host, prefix, kind, service, name=None, **more):
    return {"name": name or "r-" + prefix.strip("/").replace("/", "-"), "host": host,
            "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 2500,
            "target_latency_ms": 800, "priority": 1, "max_attempts": 2, **more}


def run(script, case):
    """Runs a case: case(fleet) returns a text for each breach of the rule. Exits with 0, 11 or 2."""
    fleet = Fleet(script)

    def stop(*_):
        raise CannotRun("the script was told to stop")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        breaches = case(fleet)
        for instance in fleet.instances:
            if instance.process is not None and instance.process.poll() is not None:
                breaches.append("%s ended by itself" % instance.name)
        for breach in breaches[:20]:
            fleet.record.say("BROKEN: " + breach)
        fleet.record.say("rule broken" if breaches else "rule held")
        status = 11 if breaches else 0  # run.sh makes 1 of it
    except CannotRun as error:
        fleet.record.say("could not run: %s" % error)
        status = 2
    except Exception as error:  # a fault of the script says nothing about the rule
        fleet.record.say("could not run: %r" % error)
        status = 2
    finally:
        fleet.end()
    sys.stdout.flush()
    os._exit(status)
