"""Tracks the open connections of an HTTP server and chooses which one to evict for a new one."""

from operator import attrgetter

import curio
import curio.io
from curio import socket

# Shares of the connection limit.
MAX_WORKER_SHARE = 0.8  # above it workers are evicted first: the rest is reserved for users
HIGH_WATER_SHARE = 0.9  # above it a worker's connection is closed after each response


class Connection:
    """An accepted connection and the state that its eviction depends on."""

    __slots__ = ("evicted", "from_worker", "idle_sequence", "socket", "task")

    def __init__(self, sock: curio.io.Socket) -> None:
        self.socket = sock
        self.task: curio.Task | None = None
        self.from_worker = False  # by its last request; a new connection counts as a user's
        self.evicted = False
        self.idle_sequence = 0  # a lower number means idle for longer

    def has_unread_data(self) -> bool:
        """Whether a request has arrived that the connection's task has not read yet."""
        try:
            return bool(self.socket._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False


class ConnectionTable:
    """Counts open connections by kind and keeps the idle ones in least-recently-used order."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.max_workers = int(limit * MAX_WORKER_SHARE)
        self.high_water = int(limit * HIGH_WATER_SHARE)
        self.open = 0
        self.workers = 0
        self._next_sequence = 1
        # Dicts used as ordered sets; the first connection has been idle longest.
        self._idle_workers: dict[Connection, None] = {}
        self._idle_others: dict[Connection, None] = {}

    def add(self, connection: Connection) -> None:
        """Count a connection that was accepted."""
        self.open += 1
        self.workers += connection.from_worker

    def remove(self, connection: Connection) -> None:
        """Forget a connection that was closed."""
        self.mark_busy(connection)
        self.open -= 1
        self.workers -= connection.from_worker

    def classify(self, connection: Connection, from_worker: bool) -> None:
        """Record whether a worker sent the request that the connection is busy with."""
        self.workers += from_worker - connection.from_worker
        connection.from_worker = from_worker

    def mark_idle(self, connection: Connection) -> None:
        """Record that the connection waits for the first byte of its next request."""
        connection.idle_sequence = self._next_sequence
        self._next_sequence += 1
        self._idle(connection)[connection] = None

    def mark_busy(self, connection: Connection) -> None:
        """Record that the connection is in the middle of a request and can't be evicted."""
        self._idle(connection).pop(connection, None)

    def is_full(self) -> bool:
        """Whether another connection must be evicted before a new one can be added."""
        return self.open >= self.limit

    def is_above_high_water(self) -> bool:
        """Whether workers' connections are closed after each response."""
        return self.open > self.high_water

    def pop_victim(self) -> Connection | None:
        """Return an idle connection to evict, no longer marked idle; None when there is none.

        While workers hold more than their share, their connections are chosen first; among equals,
        the one that has been idle longest. Connections with unread data are passed over.
        """
        while (victim := self._idle_longest()) is not None:
            self.mark_busy(victim)
            if not victim.has_unread_data():
                return victim
        return None

    def _idle_longest(self) -> Connection | None:
        oldest_worker = next(iter(self._idle_workers), None)
        oldest_other = next(iter(self._idle_others), None)
        if oldest_worker is None or oldest_other is None:
            return oldest_worker or oldest_other
        if self.workers > self.max_workers:
            return oldest_worker
        return min(oldest_worker, oldest_other, key=attrgetter("idle_sequence"))

    def _idle(self, connection: Connection) -> dict[Connection, None]:
        return self._idle_workers if connection.from_worker else self._idle_others
