"""Stand-ins of the users' platform for tests with real processes.

A store, engines that answer as a test says, and processes of `serve-platform`. All
listen on loopback.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20
# Set by the program.
METRICS_PORT = 9464


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """A process that has ended broke its connection."""


def encode_value(value):
    """Base64 of the JSON of `value`, or of its bytes."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(data).decode()


def replace_values(listing, values):
    """The text of a listing with other values of some keys."""
    answer = json.loads(listing)
    for it in answer["items"]:
        if it["key"] in values:
            it["value"] = encode_value(values[it["key"]])
    return json.dumps(answer)


class Store:
    """The platform's store. Its leases end only by a call, and its listings have one page."""

    def __init__(self, items):
        self.changed = threading.Condition()
        # Items as JSON texts, by key, and all changes with their revisions.
        self.items, self.changes, self.leased = {}, [], {}
        self.revision, self.next_lease = 4, 100
        for key, value in sorted(items.items()):
            self.put(key, value)
        # Other values of these keys, which listings hold instead.
        self.listed_values = {}
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def reply(self, status, text):
                body = text.encode("utf-8", "surrogateescape")
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def serve(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                status, text = store.answer(url.path, query, json.loads(body or b"{}"))
                if url.path == "/api/kv-range" and store.listed_values:
                    text = replace_values(text, store.listed_values)
                self.reply(status, text)

            do_GET = do_POST = do_DELETE = serve

            def log_message(self, *args):
                pass

        server = QuietServer((HOST, 0), Handler)
        self.port = server.server_address[1]
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def put(self, key, value, lease=0):
        """Writes the JSON of `value`, or its bytes."""
        self.put_text(key, json.dumps({"key": key, "value": encode_value(value),
                                       "revision": 0, "lease": lease}))

    def put_text(self, key, text):
        """Writes an item that answers show as `text`, with its revision in place of a 0."""
        with self.changed:
            self.revision += 1
            text = text.replace('"revision": 0', f'"revision": {self.revision}')
            self.items[key] = text
            self.changes.append((self.revision, text))
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.changes.append((self.revision, json.dumps(
                    {"key": key, "revision": self.revision, "deleted": True})))
                self.changed.notify_all()

    def answer(self, path, query, body):
        """(status, text) of the answer to a call."""
        if path == "/api/kv-watch":
            after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
            with self.changed:
                self.changed.wait_for(lambda: self.revision > after, wait_s)
                events = ",".join(text for revision, text in self.changes if revision > after)
                return 200, f'{{"events": [{events}], "at": {self.revision}}}'
        with self.changed:
            if path == "/api/kv-range":
                items = ",".join(text for key, text in sorted(self.items.items())
                                 if key.startswith(query.get("prefix", "")))
                return 200, f'{{"items": [{items}], "has_more": false, "at": {self.revision}}}'
            if path == "/api/kv-key":
                text = self.items.get(query["key"])
                return (404, "{}") if text is None else (200, text)
            if path == "/api/kv-txn":
                return self.run_transaction(body)
            if path == "/api/kv-lease":
                self.next_lease += 1
                self.leased[self.next_lease] = []
                return 200, json.dumps({"lease": self.next_lease, "ttl_ms": body["ttl_ms"]})
            lease = int(path.rsplit("/", 1)[1])
            if path.startswith("/api/kv-lease-end/"):
                for key in self.leased.pop(lease, []):
                    self.remove(key)
            return 200 if lease in self.leased else 404, "{}"

    def run_transaction(self, body):
        for it in body.get("precondition", []):
            text = self.items.get(it["key"])
            if (json.loads(text)["revision"] if text else 0) != it["revision"]:
                return 412, "{}"
        for it in body.get("writes", []):
            lease = it.get("lease", 0)
            if lease:
                self.leased[lease].append(it["key"])
            self.put(it["key"], base64.b64decode(it["value"]), lease)
        for key in body.get("remove", []):
            self.remove(key)
        return 200, json.dumps({"revision": self.revision})


class Call:
    """A request that an engine has read."""

    def __init__(self, connection, stream):
        self.connection = connection
        self.method, self.target, _ = stream.readline().decode("latin-1").split(" ", 2)
        self.headers = {}
        while (line := stream.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = stream.read(int(self.headers.get("content-length", "0")))
        self.id = self.headers.get("request-id", "")

    def send(self, data):
        self.connection.sendall(data)


class Engine:
    """An engine, whose answers to requests are up to `run(engine, call)`."""

    def __init__(self, name, service, run):
        self.name, self.service, self.run = name, service, run
        self.listener = socket.create_server((HOST, 0), backlog=500)
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        address = f"{HOST}:{self.listener.getsockname()[1]}"
        return {"service": self.service, "address": address, "zone": "a", "slots": 400,
                "state": "ready"}

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                call = Call(connection, stream)
                if call.target.startswith("/api/"):
                    body = b'{"free":1000}'
                    call.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                else:
                    self.run(self, call)
        except (OSError, ValueError):
            pass


def make_config(routes, services):
    """The operator's configuration with these routes, each of (name, kind, service, fields)."""
    return {"version": 1, "services": [{"name": it} for it in services], "routes": [
        {"name": name, "host": "example", "prefix": f"/{name}/", "kind": kind,
         "timeout_ms": 20000, "target_latency_ms": 2000, "service": service, **fields}
        for name, kind, service, fields in routes]}


class Entry:
    """A process of `serve-platform`, which ends with the context."""

    def __init__(self, build, folder, store, memory_mb, name="entry-1", grace_s=8,
                 descriptors=None):
        self.port, self.ready_port, directory_port, peer_port = (free_port() for _ in range(4))
        # By the listeners that clients or the platform reach.
        self.ports = {"callers": self.port, "readiness": self.ready_port,
                      "directory": directory_port, "peers": peer_port, "metrics": METRICS_PORT}
        limits = {"cpu_share": 1, "cpu_cores": 1, "memory_mb": memory_mb}
        if descriptors is not None:
            limits["file_descriptors"] = descriptors
        settings = pathlib.Path(folder) / f"{name}.json"
        settings.write_text(json.dumps({
            "node_name": name, "ip_address": HOST, "zone": "a",
            "listen_addresses": {"frontend": f"{HOST}:{self.port}",
                                 "ready": f"{HOST}:{self.ready_port}",
                                 "directory": f"{HOST}:{directory_port}"},
            "internal_port_range": [peer_port, peer_port],
            "limits": limits,
            "bounds": {"grace_period_s": grace_s, "ttl_max_s": 5, "retry_budget_ratio": 0.2,
                       "budget_window_s": 10, "budget_extra_retries": 1000},
            "platform": {"address": f"{HOST}:{store.port}"}}))
        self.log = pathlib.Path(folder) / f"{name}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [pathlib.Path(build) / "kingcupdrift", "serve-platform"],
                env={**os.environ, "KINGCUPDRIFT_CONFIG": str(settings)},
                stdout=log, stderr=log)

    def __enter__(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            time.sleep(0.1)
            try:
                ready = http.client.HTTPConnection(HOST, self.ready_port, timeout=1)
                ready.request("GET", "/api/ready")
                if ready.getresponse().status == 200:
                    return self
            except OSError:
                pass
        self.process.kill()
        sys.exit("the process did not become ready; its log:\n" + self.log.read_text()[-4000:])

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()

    def is_running(self):
        return self.process.poll() is None

    def read_status_bytes(self, field):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        sys.exit(f"{field} of the process is not known")

    def read_peak_memory_bytes(self):
        return self.read_status_bytes("VmHWM")

    def read_memory_bytes(self):
        return self.read_status_bytes("VmRSS")

    def count_descriptors(self):
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def read_log_end(self):
        return self.log.read_text(errors="replace")[-4000:]

    def ask(self, path, request, headers=None, method="POST", timeout_s=30, port=None, body=b"x"):
        """(status, headers, body) of the answer, or (0, {}, what was wrong)."""
        connection = http.client.HTTPConnection(HOST, port or self.port, timeout=timeout_s)
        try:
            connection.request(method, path, body=body, headers={
                "Host": "example", "Request-Id": request, "Deadline-Milliseconds": "15000",
                **(headers or {})})
            response = connection.getresponse()
            body = response.read()
            return response.status, dict(response.getheaders()), body
        except (OSError, http.client.HTTPException) as error:
            return 0, {}, f"{type(error).__name__}: {error}".encode()
        finally:
            connection.close()
