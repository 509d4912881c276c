"""LOST: streams of sound engines are cut off where the engines' weights change."""

import pathlib
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import *  # pylint: disable=wildcard-import,unused-wildcard-import,wrong-import-position

STREAMS_PER_S, LENGTH_S, EVENTS, PAUSE_S = 12, 9, 33, 0.1
# Engine after engine gets new weights and goes on with its streams meanwhile.
CHANGE_FROM_S, CHANGE_GAP_S = 4.0, 0.5


def play_case(record, folder, entries):
    began, weights, lock = [0.0], {}, threading.Lock()

    def version(engine):
        changes_at = CHANGE_FROM_S + CHANGE_GAP_S * (int(engine.name[2:]) - 1)
        return 2 if TROUBLE and time.monotonic() - began[0] >= changes_at else 1

    def run(engine, call):
        """Streams its events; one at which the version changes says so in its first line."""
        if call.target.startswith("/look/"):
            call.reply(200, b"free")
            return
        known = version(engine)
        call.send((f"HTTP/1.1 200 OK\r\nRequest-Id: {call.id}\r\nServer-Stamp: stamp.{call.id}\r\n"
                   f"Content-Type: text/event-stream\r\nWeight-Versions: {known}\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(call.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            time.sleep(PAUSE_S)
            first_line = ""
            if version(engine) != known:
                known = version(engine)
                first_line = f"weight-versions: {known}\n"
                with lock:
                    weights.setdefault(call.id, []).append((engine.name, number))
            event = f"{first_line}id: {number}\ndata: token {number}\n\n".encode()
            call.send(b"%x\r\n%s\r\n" % (len(event), event))
        call.send(b"0\r\n\r\n")
        record.write(f"{engine.name} has streamed id={call.id} to its end")

    store = Store()
    for number in range(1, 5):
        engine = Engine(record, f"i-{number}", "llm", run, zone="abc"[number % 3])
        store.put(f"servers/{engine.name}", engine.entry())
    store.put("op/config", config(
        7, [route("chat", "/chat/", "streaming", "llm", resume_streams=True, target_gap_ms=250),
            route("note", "/note/", "streaming", "llm", resume_streams=False, target_gap_ms=250,
                  max_attempts=1),
            route("look", "/look/", "safe", "llm")],
        [{"name": "llm", "health_path": "/health", "max_connections": 424, "protocol": "h1",
          "tls": False}], [{"name": "county", "api_keys": ["key-1"]}]))
    for number in range(2):
        entries.append(Entry(folder, settings(f"entry-{number}", "127.0.0.1", "ab"[number], store)))
    for it in entries:
        it.wait_ready()
    began[0] = time.monotonic()
    cut, whole = [], [0]

    def ask(number):
        """Two streams on one kept connection."""
        kind = ("chat", "note")[number % 2]
        client = Client(entries[number // 2 % 2].address("frontend"))
        # The connection is a kept one when the first stream is asked for.
        client.ask("GET", "/look/2f", {"Host": "h.example", "Request-Id": f"look-{number}",
                                       "Deadline-Milliseconds": "1000",
                                       "Authorization": "Bearer key-1"})
        for part in range(2):
            request = f"{kind}-{number}.{part}"
            headers = {"Host": "h.example", "Request-Id": request, "Model": "m",
                       "Deadline-Milliseconds": "10000", "Authorization": "Bearer key-1",
                       "Token-Counts": "4960,1650", "Prompt-Prefix": f"5c1e07a2:40,{number:x}:4920"}
            answer = client.ask("POST", f"/{kind}/2f", headers, b"a question")
            events = answer[2].count(b"\n\n") if answer else 0
            is_whole = bool(answer) and answer[3]
            record.write(f"client: id={request} status={answer and answer[0]} events={events} "
                         f"{'whole' if is_whole else 'CUT OFF'}, version changed at "
                         f"{weights.get(request, 'no engine')}")
            with lock:
                whole[0] += is_whole and answer[0] == 200 and events == EVENTS
                if not is_whole:
                    cut.append(request)
            if not is_whole:
                break
        client.close()

    threads = []
    for number in range(STREAMS_PER_S * LENGTH_S):
        thread = threading.Thread(target=ask, args=(number,))
        thread.start()
        threads.append(thread)
        time.sleep(1 / STREAMS_PER_S)
    for it in threads:
        it.join()
    record.say(f"{whole[0]} streams came whole; {len(cut)} kept connections were closed inside the "
               f"answer of a sound engine ({sum(it.startswith('chat') for it in cut)} of them on "
               f"the route that may be resumed): {', '.join(cut) or 'none'}")
    # The rule allows three.
    return BROKEN if len(cut) > 3 else HELD


play(pathlib.Path(__file__).resolve().parent, play_case)
