"""What the scripts of cases 6 to 10 share: a store whose leases end by time, processes of
`serve-platform` with the settings of DEPLOY.md, a strict client, and the record.

The store, the engines and their parts come from the project's own stand-ins.
"""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "tests" / "process"))
import platform_standins as own  # noqa: E402
from platform_standins import HOST, Engine, Store, free_port, make_config  # noqa: E402,F401

READY_TIMEOUT_S = 20
BUILD = ROOT / "target"


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """`record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.lock, self.began = threading.Lock(), time.monotonic()

    def add(self, text):
        with self.lock:
            print(f"{time.monotonic() - self.began:8.3f}  {text}", file=self.file, flush=True)


def run_case(folder, play):
    """Ends with 1 if `play` returns faults of the rule, 0 if none, 2 if it could not run."""
    # Ends the processes of the case as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended from outside"))
    record = Record(folder)
    record.add("with the disruption" if has_trouble() else "without the disruption")
    try:
        faults = play(record)
    except BaseException:  # pylint: disable=broad-except
        text = traceback.format_exc()
        record.add("the case could not run: " + text.strip().splitlines()[-1])
        print(text, file=sys.stderr)
        sys.stderr.flush()
        os._exit(2)
    for it in faults:
        record.add("BROKEN: " + it)
        print("BROKEN: " + it)
    if not faults:
        record.add("the rule held")
        print("the rule held")
    sys.stdout.flush()
    # Threads of stand-ins may still wait for a peer.
    os._exit(1 if faults else 0)


class LeasingStore(Store):
    """The platform's store, whose leases run from the last call that renewed them."""

    def __init__(self, items):
        self.ends = {}
        super().__init__(items)
        threading.Thread(target=self.end_leases, daemon=True).start()

    def answer(self, path, query, body):
        status, text = super().answer(path, query, body)
        with self.changed:
            if path == "/api/kv-lease":
                lease = json.loads(text)["lease"]
                seconds = body["ttl_ms"] / 1000
                self.ends[lease] = (time.monotonic() + seconds, seconds)
            elif path.startswith("/api/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease in self.leased:
                    seconds = self.ends[lease][1]
                    self.ends[lease] = (time.monotonic() + seconds, seconds)
        return status, text

    def end_leases(self):
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            for lease, (end, _) in list(self.ends.items()):
                if now >= end:
                    super().answer(f"/api/kv-lease-end/{lease}", {}, {})
                    del self.ends[lease]

    def list_keys(self, prefix):
        with self.changed:
            return [it for it in self.items if it.startswith(prefix)]


class Machine:
    """One machine of the system: the command of the deploy file with its settings."""

    def __init__(self, folder, store, name, memory_mb=260):
        self.name = name
        self.port, self.ready_port, self.directory_port = (free_port() for _ in range(3))
        peer_port = free_port()
        settings = pathlib.Path(folder) / f"{name}.json"
        settings.write_text(json.dumps({
            "node_name": name, "role": "entry", "machine_class": "frontend",
            "serves": ["frontend", "directory"], "ip_address": HOST, "zone": "gl-a",
            "region": "great-lakes", "zones": {"gl-a": "great-lakes"},
            "listen_addresses": {"frontend": f"{HOST}:{self.port}",
                                 "ready": f"{HOST}:{self.ready_port}",
                                 "directory": f"{HOST}:{self.directory_port}"},
            "internal_port_range": [peer_port, peer_port], "seed_nodes": [],
            "bootstrap": True, "data_directory": None, "discovery": "platform",
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": memory_mb,
                       "file_descriptors": 4200, "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_interval_ms": 1200,
            "bounds": {"stable_window_ms": 3000, "drain_timeout_ms": 2000,
                       "grace_period_s": 8, "config_apply_ms": 2000,
                       "retry_budget_ratio": 0.2, "budget_window_s": 10,
                       "budget_extra_retries": 100, "ttl_max_s": 5},
            "platform": {"address": f"{HOST}:{store.port}", "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "min_ttl_ms": 1000}}))
        self.log = pathlib.Path(folder) / f"{name}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [BUILD / "kingcupdrift", "serve-platform"], cwd=ROOT,
                env={**os.environ, "KINGCUPDRIFT_CONFIG": str(settings)},
                stdout=log, stderr=log)

    def __enter__(self):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if self.is_ready():
                return self
            time.sleep(0.1)
        self.kill()
        raise RuntimeError("a process did not become ready: " + self.log.read_text()[-2000:])

    def __exit__(self, *_):
        self.kill()

    def is_ready(self):
        try:
            return get(self.ready_port, "/api/ready")[0] == 200
        except (OSError, ValueError):
            return False

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_running(self):
        return self.process.poll() is None

    def resolve(self):
        """The addresses of one answer of the directory; none without an answer."""
        status, _, body = get(self.directory_port,
                              "/api/resolve?name=example&region=great-lakes&zone=gl-a")
        return json.loads(body).get("addresses", []) if status == 200 else []


TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


class NoAnswer(ValueError):
    """Bytes that are no answer in HTTP/1.1 (RFC 9110, RFC 9112)."""


def parse_head(head):
    """(status, headers) of the bytes before the blank line."""
    lines = head.decode("latin-1").split("\r\n")
    if not re.fullmatch(r"HTTP/1\.[01] [1-5][0-9][0-9]( [\t\x20-\x7e\x80-\xff]*)?", lines[0]):
        raise NoAnswer(f"the status line {lines[0]!r}")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not TOKEN.fullmatch(name) or re.search(r"[\x00-\x08\x0a-\x1f\x7f]", value):
            raise NoAnswer(f"the header line {line!r}")
        headers.setdefault(name.lower(), []).append(value)
    return int(lines[0].split(" ")[1]), headers


class Client:
    """One connection of a client, which reads answers with a length or none."""

    def __init__(self, port, timeout_s=10):
        self.connection = socket.create_connection((HOST, port), timeout=timeout_s)
        self.stream = self.connection.makefile("rb")

    def send(self, data):
        self.connection.sendall(data)

    def read_head(self):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = self.stream.readline()
            if not line:
                raise ConnectionError("the connection ended" + (" in a head" if head else ""))
            head += line
        return parse_head(head[:-4])

    def read_answer(self, has_body=True):
        status, headers = self.read_head()
        lengths = set(headers.get("content-length", ["0"]))
        if len(lengths) != 1:
            raise NoAnswer(f"several lengths {sorted(lengths)}")
        size = int(lengths.pop()) if has_body else 0
        body = self.stream.read(size)
        if len(body) < size:
            raise ConnectionError("the connection ended in a body")
        return status, headers, body

    def close(self):
        self.stream.close()
        self.connection.close()


def make_request(method, path, request, body=b"", deadline_ms=5000, headers=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: example", f"Request-Id: {request}",
             f"Deadline-Milliseconds: {deadline_ms}", *headers,
             f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def get(port, target):
    client = Client(port, 2)
    try:
        client.send(f"GET {target} HTTP/1.1\r\nHost: example\r\n\r\n".encode())
        return client.read_answer()
    finally:
        client.close()


def start_store(routes, engines, limits=None):
    config = make_config(routes, ["s"])
    config["limits"] = limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return config, LeasingStore({"op/config": config,
                                 **{f"servers/{it.name}": it.entry() for it in engines}})
