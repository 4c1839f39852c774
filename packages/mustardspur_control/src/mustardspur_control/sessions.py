"""State of the streams of nodes at a control instance."""

import asyncio
from collections import defaultdict
from contextlib import ExitStack

from mustardspur_core.messages import Hello
from mustardspur_core.wire import FrameStream


class NodeSession:
    """Services, sent revisions and pending updates of a connected node.

    Explanation
    ===========

    Pending changes are a set of dirty services, not a queue: after any
    number of changes, a slow node is sent one update to the newest state.

    Parameters
    ----------
    hello : Hello
        First frame of the node.
    stream : FrameStream
        Stream to the node.
    """

    __slots__ = (
        'confirmed',
        'cut_offs',
        'dirty',
        'handshake',
        'hello',
        'sent_indexes',
        'sent_revisions',
        'services',
        'stream',
        'wake',
    )

    def __init__(self, hello: Hello, stream: FrameStream) -> None:
        """Initialise from `Hello`, with all services of the node dirty."""
        self.hello = hello
        self.stream = stream
        self.confirmed = False
        self.services = set(hello.services)
        self.sent_indexes = dict(hello.config_indexes)
        self.sent_revisions = dict(hello.target_revisions)
        self.dirty = set(hello.services)
        self.cut_offs: set[str] = set()
        self.wake = asyncio.Event()
        self.handshake = ExitStack()

    @property
    def node(self) -> str:
        """Identifier of the node."""
        return self.hello.node

    @property
    def needs_confirmation(self) -> bool:
        """Whether the node has a service without any configuration."""
        return bool(self.services - self.hello.config_indexes.keys())

    def mark_changed(self, service: str) -> None:
        """Mark a service as dirty and wake the sender."""
        self.dirty.add(service)
        self.wake.set()

    def mark_cut_off(self, move: str) -> None:
        """Add a pending cut-off and wake the sender."""
        self.cut_offs.add(move)
        self.wake.set()


class Sessions:
    """Sessions by node and by service."""

    __slots__ = ('_by_service', 'by_node')

    def __init__(self) -> None:
        """Initialise without sessions."""
        self.by_node: dict[str, NodeSession] = {}
        self._by_service: dict[str, set[NodeSession]] = defaultdict(set)

    def add(self, session: NodeSession) -> NodeSession | None:
        """Add a session; return the replaced one of the same node, if any."""
        earlier = self.by_node.get(session.node)
        if earlier is not None:
            self.remove(earlier)
        self.by_node[session.node] = session
        for service in session.services:
            self._by_service[service].add(session)
        return earlier

    def remove(self, session: NodeSession) -> bool:
        """Remove a session; return whether it was its node's current one."""
        for service in session.services:
            self._by_service[service].discard(session)
        if self.by_node.get(session.node) is not session:
            return False
        self.by_node.pop(session.node)
        return True

    def subscribe(self, session: NodeSession, services: list[str]) -> None:
        """Add services; those already present are sent in full again."""
        for service in services:
            if service in session.services:
                session.sent_indexes.pop(service, None)
                session.sent_revisions.pop(service, None)
            session.services.add(service)
            self._by_service[service].add(session)
            session.mark_changed(service)

    def of_service(self, service: str) -> set[NodeSession]:
        """Return the sessions of nodes that need a service."""
        return self._by_service[service]

    def mark_changed(self, service: str) -> None:
        """Mark a service as dirty in each session that needs it."""
        for session in self._by_service[service]:
            session.mark_changed(service)
