"""Crowds of raw TCP clients for tests with real processes."""

import pathlib
import selectors
import socket
import time

MAX_WRITE_BYTES = 65536


class Client:
    """A connection with bytes to send. It reads nothing before it is closed by the server."""

    def __init__(self, host, port, pieces):
        self.pieces = [pieces] if isinstance(pieces, bytes) else pieces
        self.next, self.sent = 0, 0
        self.connection = socket.socket()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection.setblocking(False)
        self.connection.connect_ex((host, port))

    def is_finished(self):
        return self.next == len(self.pieces)

    def write(self):
        """Sends what the connection takes of the next piece; false if it is closed."""
        piece = self.pieces[self.next]
        try:
            if piece:
                self.sent += self.connection.send(
                    memoryview(piece)[self.sent:self.sent + MAX_WRITE_BYTES])
        except BlockingIOError:
            return True
        except OSError:
            return False
        if self.sent == len(piece):
            self.next, self.sent = self.next + 1, 0
        return True


class Crowd:
    """Clients that send at the same time, each `make_bytes(number)`: bytes or a list of them."""

    def __init__(self, host, port, count, make_bytes):
        self.selector = selectors.DefaultSelector()
        self.clients = []
        for number in range(count):
            client = Client(host, port, make_bytes(number))
            self.selector.register(client.connection, selectors.EVENT_WRITE, client)
            self.clients.append(client)

    def send(self, limit_s, observe):
        """Sends until all is sent, refused or `limit_s` has passed; observes meanwhile."""
        deadline, next_look = time.monotonic() + limit_s, 0
        while self.selector.get_map() and time.monotonic() < deadline:
            for key, _ in self.selector.select(0.05):
                client = key.data
                if not client.write() or client.is_finished():
                    self.selector.unregister(client.connection)
            if time.monotonic() >= next_look:
                observe()
                next_look = time.monotonic() + 0.05

    def hold(self, time_s, observe):
        """Leaves the connections open and observes meanwhile."""
        deadline = time.monotonic() + time_s
        while time.monotonic() < deadline:
            observe()
            time.sleep(0.05)

    def count_open(self):
        """Connections that the server has not closed."""
        count = 0
        for it in self.clients:
            try:
                while it.connection.recv(65536):
                    pass
            except BlockingIOError:
                count += 1
            except OSError:
                pass
        return count

    def close(self):
        for it in self.clients:
            it.connection.close()


def read_socket_bytes(ports):
    """Bytes that wait unread in the connections accepted at these ports."""
    suffixes = {f":{port:04X}" for port in ports}
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_listener = fields[3] == "0A"
        if not is_listener and fields[1][-5:] in suffixes:
            total += int(fields[4].split(":")[1], 16)
    return total
