"""A machine freezes while it connects to an engine that is silent for a moment.

Requests of an unsafe route come while one of three engines accepts no connection and its
queue of new connections is full. The machine freezes for 1.6 s. The rule is broken if any
request runs at more than one engine, or runs although it was answered 503 or 429.
"""

import collections
import os
import pathlib
import signal
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins_3 as d

ROUNDS = 8
REQUESTS = 9
# That of `parts-order` on the sheet of Cascadia.
DEADLINE_MS = 2500
# From the requests on: the freeze, the end of the engine's silence, the end of the freeze.
FREEZE_AT_S, SPEAK_AT_S, WAKE_AT_S = 0.1, 0.4, 1.7
OTHER_CALLERS = 4

runs = collections.defaultdict(list)
runs_lock = threading.Lock()


class SilentEngine(d.Engine):
    """An engine that may fall silent. Its queue of new connections is short."""

    is_silent = False

    def accept(self):
        self.listener.listen(0)
        self.listener.settimeout(0.02)
        while True:
            if self.is_silent:
                time.sleep(0.02)
                continue
            try:
                connection, _ = self.listener.accept()
            except socket.timeout:
                continue
            connection.settimeout(None)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def fall_silent(self):
        """Other callers' connections fill the queue, so that further ones must try again."""
        self.is_silent = True
        time.sleep(0.1)
        callers = []
        for _ in range(OTHER_CALLERS):
            callers.append(socket.socket())
            callers[-1].setblocking(False)
            callers[-1].connect_ex(self.listener.getsockname())
        time.sleep(0.05)
        return callers


def run(engine, call):
    with runs_lock:
        runs[call.id].append(engine.id)
    time.sleep(0.03)
    call.answer(b"x" * 800)


def send_request(deployment, machine, request, answers):
    begin = time.monotonic()
    try:
        with socket.create_connection((machine.ip, machine.ports["frontend"]), 2) as connection:
            connection.sendall(d.make_request("/hold/a", request, DEADLINE_MS, b"x"))
            deployment.record.add("sent", id=request, machine=machine.name)
            answer = d.read_answer(connection, begin, DEADLINE_MS / 1000 + 1)
            answers[request] = answer.status if answer.is_whole else 0
    except OSError:
        answers[request] = 0
    deployment.record.add("answered", id=request, status=answers[request],
                          after_s=f"{time.monotonic() - begin:.3f}")


def play_round(deployment, machine, engine, number, answers):
    callers = engine.fall_silent()
    begin = time.monotonic()
    threads = [threading.Thread(target=send_request, args=(
        deployment, machine, f"hold-{number}-{it}", answers)) for it in range(REQUESTS)]
    for it in threads:
        it.start()
    time.sleep(max(0, begin + FREEZE_AT_S - time.monotonic()))
    if d.HAS_TROUBLE:
        deployment.record.add("freeze", machine=machine.name)
        os.kill(machine.process.pid, signal.SIGSTOP)
    time.sleep(max(0, begin + SPEAK_AT_S - time.monotonic()))
    engine.is_silent = False
    time.sleep(max(0, begin + WAKE_AT_S - time.monotonic()))
    if d.HAS_TROUBLE:
        os.kill(machine.process.pid, signal.SIGCONT)
        deployment.record.add("wake", machine=machine.name)
    for it in threads:
        it.join()
    for it in callers:
        it.close()
    time.sleep(1)


def main():
    answers = {}
    with d.Deployment(
            FOLDER, [("beds-api", 3, 6, run)],
            [d.make_route("hold", "/hold/", "unsafe", "beds-api", timeout_ms=DEADLINE_MS,
                          target_latency_ms=150, max_attempts=1)],
            [d.make_plain_service("beds-api")], engine_classes={0: SilentEngine}) as deployment:
        time.sleep(d.STABLE_WINDOW_S + 1)
        for number in range(ROUNDS):
            machine = deployment.machines[number % len(deployment.machines)]
            play_round(deployment, machine, deployment.engines[0], number + 1, answers)
        time.sleep(0.5)
        twice = [it for it in answers if len(runs[it]) > 1]
        refused = [it for it in answers if answers[it] in (408, 421, 429, 503) and runs[it]]
        for it in twice:
            deployment.record.say(f"TWICE: {it} was answered {answers[it]} and ran at "
                                  f"{' and '.join(runs[it])}")
        for it in refused:
            deployment.record.say(f"REFUSED: {it} was answered {answers[it]} and ran at "
                                  f"{' and '.join(runs[it])}")
        statuses = collections.Counter(answers.values())
        is_broken = bool(twice or refused)
        deployment.record.say(
            f"TWICE: {'BROKEN' if is_broken else 'held'}; of {len(answers)} requests, answers "
            f"{dict(statuses)}, {len(twice)} ran twice and {len(refused)} were refused and ran")
    return d.BROKEN if is_broken else d.HELD


d.run_case(main)
