"""TCP proxies for the links that one controller dials, which can lose its machine's power."""

import contextlib
import socket
import threading

READ_BYTES = 65_536


class PowerProxy:
    """Forwards the connections that one controller makes to one other.

    After `lose_power` the other side of every connection stays open and silent, as it does towards
    a machine without power: it gets no data, no end and no reset. Connections made later work.
    """

    def __init__(self, port: int, target: str) -> None:
        host, target_port = target.split(":")
        self.target = (host, int(target_port))
        self.lock = threading.Lock()
        self.connections: list[ProxiedConnection] = []
        self.silent: list[ProxiedConnection] = []  # kept, so that their sockets stay open
        listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept_all, args=(listener,), daemon=True).start()

    def lose_power(self) -> int:
        """Silence the connections; return how many there were."""
        with self.lock:
            lost = [connection for connection in self.connections if not connection.ended]
            self.connections = []
        for connection in lost:
            connection.silent = True
        self.silent += lost
        return len(lost)

    def is_answered(self) -> bool:
        """Return whether a connection carries answers of the other side."""
        with self.lock:
            return any(c.answered and not c.ended for c in self.connections)

    def _accept_all(self, listener: socket.socket) -> None:
        while True:
            client, _ = listener.accept()
            try:
                server = socket.create_connection(self.target, timeout=2.0)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            connection = ProxiedConnection(client, server)
            with self.lock:
                self.connections.append(connection)
            connection.start()


class ProxiedConnection:
    """A connection of the controller, and the one to its target."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client, self.server = client, server
        self.silent = self.answered = self.ended = False
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        """Forward in both directions."""
        for source, sink in ((self.client, self.server), (self.server, self.client)):
            threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                self.answered |= source is self.server
                if not self.silent:
                    sink.sendall(data)
        if self.silent:
            return
        self.ended = True
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
