"""Baseline: full copies, no coalescing of changes, no admission control."""

import random
from collections import Counter, defaultdict
from typing import Any

from mustardspur_control.admission import Admission
from mustardspur_control.hub import Hub
from mustardspur_control.sessions import NodeSession
from mustardspur_core.messages import ConfigUpdate
from mustardspur_core.wire import encode_frame
from mustardspur_node.backoff import Backoff

FIXED_DELAY_S = 0.1


class OpenAdmission(Admission):
    """Admits all nodes immediately."""

    def refusal(self) -> None:
        """Return None, which admits the node."""


class FixedBackoff(Backoff):
    """Backoff with a fixed delay before each attempt."""

    def next_s(self) -> float:
        """Return the fixed delay in seconds."""
        return FIXED_DELAY_S


class FullPushHub(Hub):
    """Sends a full copy of a service for each of its changes."""

    def __init__(self, *arguments: Any) -> None:
        """Initialise without unsent changes."""
        super().__init__(*arguments)
        self.admission = OpenAdmission(random.Random())
        self._unsent: dict[str, Counter[str]] = defaultdict(Counter)
        self._read = arguments[1]
        self._read.on_change(self._count_unsent)
        self.registry.known_targets.on_change(self._count_unsent)

    def frames_for(self, session: NodeSession) -> list[bytes]:
        """Return a full copy of the service for each unsent change."""
        session.wake.clear()
        unsent = self._unsent.pop(session.node, Counter())
        changes = list(unsent.elements()) or list(session.dirty)
        session.dirty.clear()
        return [
            frame for service in changes for frame in self._full_copies(service)
        ]

    def _count_unsent(self, service: str) -> None:
        for session in self.sessions.of_service(service):
            self._unsent[session.node][service] += 1

    def _full_copies(self, service: str) -> list[bytes]:
        config = self._read.config(service)
        update = ConfigUpdate(
            service=service,
            index=config.index,
            base_index=0,
            full=config,
            delta=None,
        )
        targets = self.registry.known_targets.list_of(service).update_from('')
        return [encode_frame(update), encode_frame(targets)]
