"""A stand-in target whose answers may be faulty."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from http.client import parse_headers
from io import BufferedReader
from socketserver import BaseRequestHandler, ThreadingTCPServer
from threading import Event, Thread
from typing import Final

from tests.platform.crowds.answers import Answer, Request
from tests.platform.mesh_processes import HANG_LIMIT_S

HEALTH_PATH: Final = '/healthz'
# Sent on one connection at most, twice what a process may use, so that a test
# of a node that reads without end ends.
MAX_SENT_BYTES: Final = 268_435_456


class FaultyTarget(ThreadingTCPServer):
    """A target that answers calls or health checks as it is told.

    Each connection has a thread, so that the loop of a test goes on.

    Attributes
    ----------
    answer, health_answer : callable, optional
        Answers to calls and to health checks, None for sound ones.
    began : threading.Event
        Set once a faulty answer to a call has begun.
    paths : set of str
        Paths of the requests that were received.
    """

    allow_reuse_address = True
    daemon_threads = True
    # The kernel drops connects beyond it, and they are sent again after 1 s.
    request_queue_size = 128
    block_on_close = False

    def __init__(self, address: tuple[str, int]) -> None:
        """Listen on an address, with sound answers."""
        self.answer: Answer | None = None
        self.health_answer: Answer | None = None
        self.began = Event()
        self.paths: set[str] = set()
        self.connections: set[socket.socket] = set()
        super().__init__(address, _Connection)

    def server_close(self) -> None:
        """Close the listener and all connections."""
        super().server_close()
        for connection in tuple(self.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _Connection(BaseRequestHandler):
    request: socket.socket
    server: FaultyTarget

    def handle(self) -> None:
        """Answer the requests on a connection until it is closed."""
        self.request.settimeout(HANG_LIMIT_S)
        self.server.connections.add(self.request)
        with suppress(OSError), self.request.makefile('rb') as reader:
            while line := reader.readline():
                path = line.split()[1].decode()
                if self._answer(path, _read_request(reader)):
                    return

    def finish(self) -> None:
        """Forget the connection."""
        self.server.connections.discard(self.request)

    def _answer(self, path: str, request: Request) -> bool:
        """Answer a request; return whether the connection is used up."""
        server = self.server
        is_call = path != HEALTH_PATH
        server.paths.add(path)
        answer = server.answer if is_call else server.health_answer
        if answer is None:
            self.request.sendall(request.whole_answer())
            return False
        left = MAX_SENT_BYTES
        for part in answer(request):
            self.request.sendall(part)
            left -= len(part)
            if is_call:
                server.began.set()
            if left <= 0:
                return True
        return False


def _read_request(reader: BufferedReader) -> Request:
    """Read the rest of a request."""
    headers = parse_headers(reader)
    reader.read(int(headers.get('Content-Length', '0')))
    return Request(headers.get('Request-Id', ''))


@contextmanager
def faulty_target(host: str, port: int) -> Iterator[FaultyTarget]:
    """Run a target in threads of this process."""
    with FaultyTarget((host, port)) as target:
        thread = Thread(target=target.serve_forever, daemon=True)
        thread.start()
        try:
            yield target
        finally:
            target.shutdown()
            thread.join(HANG_LIMIT_S)
