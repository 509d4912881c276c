"""The clients of serve_leaves: serve_leaves.py PORT PID ENGINE_CONTROL_PORT AUTHORIZATION."""

import json
import os
import pathlib
import socket
import struct
import sys
import time
import urllib.request

HOST = "127.0.0.1"
CLIENTS = 6
SETTLE_S, WAIT_S = 0.7, 0.8
GONE_S = 0.5
# The engine works for 6 s.
MAX_TOKENS = 300
# Share of a core that the smallest entries have.
MAX_CORES = 0.12


def close(connection):
    connection.close()


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


# The bytes behind the request, whether it asks for a stream, and the leave.
FORMS = {
    "closed": (0, False, close),
    "reset": (0, False, reset),
    "stream, closed": (0, True, close),
    "stream, reset": (0, True, reset),
    "60,000 bytes behind, closed": (60000, False, close),
    "60,000 bytes behind, reset": (60000, False, reset),
    "60,000 bytes behind a stream, reset": (60000, True, reset),
    "1,000,000 bytes behind, reset": (1000000, False, reset),
}


def make_request(authorization, is_stream):
    body = json.dumps({"model": "demo-model", "prompt": "x", "max_tokens": MAX_TOKENS,
                       "stream": is_stream}).encode()
    return (f"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: {authorization}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode() + body


def count_open_streams(control_port):
    with urllib.request.urlopen(f"http://{HOST}:{control_port}/counters", timeout=5) as answer:
        return json.load(answer)["open_streams"]


def read_cpu_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main():
    port, pid, control_port, authorization = (
        int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), sys.argv[4])
    faults, usual_cores = [], {}
    for name, (behind, is_stream, leave) in FORMS.items():
        data = make_request(authorization, is_stream)
        if behind:
            data += (b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
                     % behind) + b"x" * behind
        connections = []
        for _ in range(CLIENTS):
            connections.append(socket.create_connection((HOST, port), timeout=0.1))
            try:
                connections[-1].sendall(data)
            except TimeoutError:
                # Not all of it is read.
                pass
        time.sleep(SETTLE_S)
        cpu_s = read_cpu_s(pid)
        time.sleep(WAIT_S)
        cores = (read_cpu_s(pid) - cpu_s) / WAIT_S
        begun = count_open_streams(control_port)
        for it in connections:
            leave(it)
        time.sleep(GONE_S)
        at_work = count_open_streams(control_port)
        print(f"{name}: {begun} of {CLIENTS} at work, {at_work} of them {GONE_S} s after their "
              f"clients had left; {cores:.3f} of a core while they waited", flush=True)
        if begun < CLIENTS:
            faults.append(f"{name}: only {begun} requests were at work")
        if at_work:
            faults.append(f"{name}: {at_work} are at work though their clients left")
        # The engine's events take processor time of their own.
        usual = usual_cores.setdefault(is_stream, cores)
        if cores > usual + MAX_CORES:
            faults.append(f"{name}: the process used {cores:.3f} of a core")
    if faults:
        sys.exit("\n".join(faults))


main()
