"""MIXED: bytes of a faulty engine that bear neither id nor signature become a success."""

import pathlib
import random
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import *  # pylint: disable=wildcard-import,unused-wildcard-import,wrong-import-position

REQUESTS_PER_S, LENGTH_S = 30, 10
# garble: share (.5) of the engines spoil x (.02) of their answers, 5 s.
SPOILT_SHARE, SPOILT_FROM_S, SPOILT_FOR_S = 0.02, 2.0, 5.0
NOT_ITS_ANSWER = b"<html><body><h1>It works!</h1></body></html>\n"


def play_case(record, folder, entries):
    random.seed(2)
    began = [0.0]
    ran, count, spoilt, lock = set(), [0], [0], threading.Lock()

    def run(engine, call):
        """Runs the request, unless the faulty engine answers with bytes of its own."""
        now = time.monotonic() - began[0]
        is_faulty = TROUBLE and engine.name in ("i-1", "i-2") and (
            SPOILT_FROM_S <= now < SPOILT_FROM_S + SPOILT_FOR_S)
        with lock:
            # At most each fiftieth answer: the first to an order after that many.
            count[0] += is_faulty
            is_spoilt = (is_faulty and call.target.startswith("/hold/")
                         and spoilt[0] < count[0] * SPOILT_SHARE)
            spoilt[0] += is_spoilt
            if not is_spoilt:
                ran.add(call.id)
        if is_spoilt:
            record.write(f"{engine.name} did not run id={call.id}: sends bytes that are not its "
                         "answer")
            call.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n"
                      + b"Content-Length: %d\r\n\r\n" % len(NOT_ITS_ANSWER) + NOT_ITS_ANSWER)
        else:
            time.sleep(0.015)
            call.reply(200, b"done " + call.id.encode())

    store = Store()
    for number in range(1, 4):
        engine = Engine(record, f"i-{number}", "beds", run, zone="abc"[number - 1], slots=6)
        store.put(f"servers/{engine.name}", engine.entry())
    store.put("op/config", config(
        7, [route("hold", "/hold/", "unsafe", "beds", timeout_ms=1000, target_latency_ms=150,
                  max_attempts=1),
            route("look", "/look/", "safe", "beds", timeout_ms=1000, target_latency_ms=150)],
        [{"name": "beds", "health_path": "/health", "max_connections": 96, "protocol": "h1",
          "tls": False}], [{"name": "county", "api_keys": ["key-1"]}]))
    for number in range(2):
        entries.append(Entry(folder, settings(f"entry-{number}", "127.0.0.1", "ab"[number], store)))
    for it in entries:
        it.wait_ready()
    began[0] = time.monotonic()
    foreign, successes = [], [0]

    def ask(number):
        kind = "hold" if number % 2 else "look"
        request = f"{kind}-{number}"
        headers = {"Host": "h.example", "Request-Id": request, "Deadline-Milliseconds": "1000",
                   "Authorization": "Bearer key-1"}
        answer = fetch(entries[number % 4 // 2].address("frontend"),
                       "POST" if kind == "hold" else "GET", f"/{kind}/2f", headers,
                       b"a hold" if kind == "hold" else b"")
        stamp = answer[1].get("server-stamp")
        with lock:
            successes[0] += answer[0] == 200
            if answer[0] // 100 == 2 and stamp is None:
                foreign.append(request)
        record.write(f"client: id={request} answered {answer[0]} stamp={stamp} "
                     f"body={answer[2][:40]!r}")

    threads = []
    for number in range(REQUESTS_PER_S * LENGTH_S):
        thread = threading.Thread(target=ask, args=(number,))
        thread.start()
        threads.append(thread)
        time.sleep(1 / REQUESTS_PER_S)
    for it in threads:
        it.join()
    lost = [it for it in foreign if it not in ran]
    record.say(f"{REQUESTS_PER_S * LENGTH_S} requests sent, {successes[0]} answered with 200; "
               f"{len(foreign)} of these without a Server-Stamp: {', '.join(foreign) or 'none'}; "
               f"{len(lost)} of them had not run at any engine")
    return BROKEN if foreign else HELD


play(pathlib.Path(__file__).resolve().parent, play_case)
