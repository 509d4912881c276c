"""The crowd of serve_crowd: serve_crowd.py BUILD_DIR PORT PID MEGABYTES."""

import pathlib
import sys
import urllib.request

from client_crowds import Crowd, read_socket_bytes

HOST = "127.0.0.1"
CLIENTS = 60
BODY_BYTES = 2_000_000
# The program, and what the kernel receives for connections that are not read yet.
OTHER_BYTES = 60_000_000
FORMS = {
    "length": lambda _: (b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
                         % BODY_BYTES + b"x" * (BODY_BYTES - 1)),
    "chunks": lambda _: (b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % BODY_BYTES
                         + b"x" * (BODY_BYTES - 1)),
    "extension": lambda _: (b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                            b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * BODY_BYTES),
}


def main():
    build, port, pid, megabytes = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
    has_sanitizers = b"__asan_init" in (pathlib.Path(build) / "kingcupdrift").read_bytes()
    peak = 0

    def observe():
        nonlocal peak
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                peak = max(peak, int(line.split()[1]) * 1024 + read_socket_bytes([port]))

    for name, make_bytes in FORMS.items():
        crowd = Crowd(HOST, port, CLIENTS, make_bytes)
        crowd.send(15, observe)
        crowd.hold(1, observe)
        with urllib.request.urlopen(f"http://{HOST}:{port}/readyz", timeout=20) as answer:
            print(f"{name}: status {answer.status} beside the crowd, peak {peak / 1e6:.0f} MB")
        crowd.close()
    limit = megabytes * 1_000_000 + OTHER_BYTES
    if peak > limit and not has_sanitizers:
        sys.exit(f"the process took {peak / 1e6:.0f} MB of {limit / 1e6:.0f} MB")


main()
