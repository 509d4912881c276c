"""Stand-ins of the users' platform for tests with real processes.

A store with a fixed content, engines that answer as a test says, and a process of
`serve-platform`. All listen on loopback.
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

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Store:
    """The platform's store: fixed items, watches without events, any write."""

    def __init__(self, items):
        rows = [{"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                 "revision": 5, "created": 5, "lease": 0} for key, value in sorted(items.items())]

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def reply(self, body):
                text = json.dumps(body).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def do_GET(self):
                if self.path.startswith("/api/kv-range"):
                    self.reply({"items": rows, "has_more": False, "at": 5})
                else:
                    time.sleep(0.2)
                    self.reply({"events": [], "at": 5})

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.reply({"lease": 7, "ttl_ms": 5000, "revision": 5})

            do_DELETE = do_POST

            def log_message(self, *args):
                pass

        server = http.server.ThreadingHTTPServer((HOST, 0), Handler)
        server.daemon_threads = True
        self.port = server.server_address[1]
        threading.Thread(target=server.serve_forever, daemon=True).start()


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

    def __init__(self, build, folder, store, memory_mb):
        self.port, self.ready_port, peer_port = (free_port() for _ in range(3))
        settings = pathlib.Path(folder) / "node.json"
        settings.write_text(json.dumps({
            "node_name": "entry-1", "ip_address": HOST, "zone": "a",
            "listen_addresses": {"frontend": f"{HOST}:{self.port}",
                                 "ready": f"{HOST}:{self.ready_port}"},
            "internal_port_range": [peer_port, peer_port],
            "limits": {"cpu_share": 1, "cpu_cores": 1, "memory_mb": memory_mb},
            "bounds": {"grace_period_s": 8, "ttl_max_s": 5, "retry_budget_ratio": 0.2,
                       "budget_window_s": 10, "budget_extra_retries": 1000},
            "platform": {"address": f"{HOST}:{store.port}"}}))
        self.log = pathlib.Path(folder) / "entry.log"
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

    def read_peak_memory_bytes(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        sys.exit("the peak of the process's memory is not known")

    def ask(self, path, request, headers=None, method="POST", timeout_s=30):
        """(status, headers, body) of the answer, or (0, {}, what was wrong)."""
        connection = http.client.HTTPConnection(HOST, self.port, timeout=timeout_s)
        try:
            connection.request(method, path, body=b"x", headers={
                "Host": "example", "Request-Id": request, "Deadline-Milliseconds": "15000",
                **(headers or {})})
            response = connection.getresponse()
            body = response.read()
            return response.status, dict(response.getheaders()), body
        except (OSError, http.client.HTTPException) as error:
            return 0, {}, f"{type(error).__name__}: {error}".encode()
        finally:
            connection.close()
