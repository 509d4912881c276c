"""GONE: engines work on for clients whose close reaches the machine as a reset.

Each client sends a prompt and gives up half a second later, before the first event. Half of
the clients abort their connection. The others close it in the usual way while the answer to
an earlier request on it is unread, for which TCP resets the connection. The engines need 4 s
for each prompt and drop a request as soon as its connection is closed. With TROUBLE=0 the
clients stay until they have the answer.
"""

import pathlib
import select
import socket
import struct
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins_2 import (Client, Engine, Machine, has_trouble, make_request, run_case,
                        start_store)

CLIENTS = 40
GAP_S = 0.25
LEAVE_AFTER_S = 0.5
WORK_S = 4.0
# The rule's time, and its share of the requests that would have lasted so long.
GONE_S, GONE_SHARE = 0.5, 0.25


def read_cpu_s(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def play(record):
    lock, begun, ended, dropped, closed, statuses = threading.Lock(), {}, {}, set(), {}, {}

    def answer(call, kind, body):
        call.send((f"HTTP/1.1 200 OK\r\nRequest-Id: {call.id}\r\nServer-Stamp: st-{call.id}\r\n"
                   f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)

    def run(engine, call):
        if call.target.startswith("/lookup/"):
            record.add(f"{engine.name} runs {call.id}")
            answer(call, "text/plain", b"bed 12 is free")
            return
        begun[call.id] = time.monotonic()
        record.add(f"{engine.name} begins {call.id}")
        # Work, given up as soon as the connection is closed.
        readable, _, _ = select.select([call.connection], [], [], WORK_S)
        ended[call.id] = time.monotonic()
        if readable:
            dropped.add(call.id)
            record.add(f"{engine.name} drops {call.id}, whose connection is closed")
            return
        record.add(f"{engine.name} ends its work on {call.id}")
        answer(call, "text/event-stream", b"id: 1\ndata: the dossier in short\n\n")

    engines = [Engine(f"i-{it}", "s", run) for it in range(4)]
    _, store = start_store([
        ("dossier", "streaming", "s", {
            "max_attempts": 2, "resume_streams": True, "target_latency_ms": 8000,
            "target_gap_ms": 1000, "timeout_ms": 15000}),
        ("lookup", "safe", "s", {"max_attempts": 2})], engines)

    def ask(number, port):
        request = f"c-{number}"
        has_unread_answer = number % 2 == 0
        client = Client(port, 20)
        if has_unread_answer:
            client.send(make_request("POST", "/lookup/x", f"early-{number}", b"x"))
            time.sleep(0.2)
        client.send(make_request("POST", "/dossier/x", request, b"x" * 5000, 15000))
        record.add(f"{request} is sent")
        if not has_trouble():
            if has_unread_answer:
                client.read_answer()
            with lock:
                statuses[request] = client.read_answer()[0]
            record.add(f"{request} is answered {statuses[request]}")
            client.close()
            return
        time.sleep(LEAVE_AFTER_S)
        if not has_unread_answer:
            # Closing sends a reset.
            client.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                         struct.pack("ii", 1, 0))
        client.close()
        closed[request] = time.monotonic()
        record.add(f"{request}: its client has closed the connection"
                   + (" with an unread answer" if has_unread_answer else " by a reset"))

    with tempfile.TemporaryDirectory() as folder, Machine(folder, store, "m-1") as machine:
        cpu_s, began_at, threads = read_cpu_s(machine.process), time.monotonic(), []
        for it in range(CLIENTS):
            threads.append(threading.Thread(target=ask, args=(it, machine.port)))
            threads[-1].start()
            time.sleep(GAP_S)
        for it in threads:
            it.join()
        cpu_s, lasted_s = read_cpu_s(machine.process) - cpu_s, time.monotonic() - began_at
        time.sleep(WORK_S + 1)
        is_running = machine.is_running()
    record.add(f"the process used {cpu_s:.2f} s of processor time in {lasted_s:.2f} s")
    if not is_running:
        return ["the process has ended by itself"]
    if not has_trouble():
        if sum(it == 200 for it in statuses.values()) < CLIENTS:
            raise RuntimeError(f"not all clients that stayed are served: {statuses}")
        return []
    faults = []
    for name, is_even in (("with an unread answer", True), ("by a reset", False)):
        left = [it for it in begun if it in closed and (int(it[2:]) % 2 == 0) == is_even]
        late = [it for it in left if ended[it] - closed[it] > GONE_S]
        record.add(f"closed {name}: engines were still at work on {len(late)} of {len(left)} "
                   f"requests half a second later, and dropped "
                   f"{sum(it in dropped for it in left)}")
        if len(late) > GONE_SHARE * len(left):
            faults.append(f"engines were still at work on {len(late)} of {len(left)} requests "
                          f"half a second after their clients had closed {name}; the process "
                          f"used {cpu_s / lasted_s:.2f} of a core")
    return faults


run_case(pathlib.Path(__file__).parent, play)
