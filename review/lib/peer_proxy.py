"""A TCP proxy in threads of the case, which can refuse connections for a while."""

import contextlib
import socket
import threading

READ_BYTES = 65_536


class RefusingProxy:
    """Forwards connections of one address to another until `refuse` is called."""

    def __init__(self, port: int, target: str) -> None:
        self.port = port
        host, target_port = target.split(":")
        self.target = (host, int(target_port))
        self.lock = threading.Lock()
        self.open: set[socket.socket] = set()
        self.listener: socket.socket | None = None

    def accept(self) -> None:
        """Listen, and forward what comes."""
        listener = socket.create_server(("127.0.0.1", self.port))
        self.listener = listener
        threading.Thread(target=self._accept_all, args=(listener,), daemon=True).start()

    def refuse(self) -> None:
        """Stop listening and close all connections: new ones are refused by the system."""
        listener, self.listener = self.listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        with self.lock:
            connections = list(self.open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept_all(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = listener.accept()
                self._serve(client)

    def _serve(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self.target, timeout=2.0)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.open |= {client, server}
        for source, sink in ((client, server), (server, client)):
            threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        with self.lock:
            self.open -= {source, sink}
