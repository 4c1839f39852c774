"""The design to compare with: full copies, no coalescing, no admission."""

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
    """Lets every node in at once."""

    def refusal(self) -> None:
        """Refuse nobody."""


class FixedBackoff(Backoff):
    """Waits the same time before each attempt."""

    def next_s(self) -> float:
        """Return the fixed delay."""
        return FIXED_DELAY_S


class FullPushHub(Hub):
    """Sends a full copy of a service for each change of it."""

    def __init__(self, *parts: Any) -> None:
        """Count the changes that each node was not sent."""
        super().__init__(*parts)
        self.admission = OpenAdmission(random.Random())
        self._unsent: dict[str, Counter[str]] = defaultdict(Counter)
        self._read = parts[1]
        self._read.on_change(self._count)
        self.registry.known_targets.on_change(self._count)

    def frames_for(self, session: NodeSession) -> list[bytes]:
        """Return one full copy for each change."""
        session.wake.clear()
        unsent = self._unsent.pop(session.node, Counter())
        changes = list(unsent.elements()) or list(session.dirty)
        session.dirty.clear()
        return [frame for service in changes for frame in self._copies(service)]

    def _count(self, service: str) -> None:
        for session in self.sessions.of_service(service):
            self._unsent[session.node][service] += 1

    def _copies(self, service: str) -> list[bytes]:
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
