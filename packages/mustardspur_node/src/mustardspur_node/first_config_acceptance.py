"""Rule for accepting the first configuration of a service on a node."""

from collections import defaultdict
from collections.abc import Iterable

from mustardspur_core.settings import Settings

from mustardspur_node.config_store import ConfigStore


class FirstConfigAcceptance:
    """Accepts first configurations that are known to be recent enough.

    Explanation
    ===========

    A node that lost its stored state accepts a first configuration if the
    control instance confirmed its state after the node connected, or once
    every control instance in the settings has answered. The highest index
    among the answers is then not lower than any index that the node had.

    Parameters
    ----------
    settings : Settings
        Settings of the node, for the list of control instances.
    store : ConfigStore
        Store with the candidates.
    """

    __slots__ = ('_answers_by_service', '_settings', '_store')

    def __init__(self, settings: Settings, store: ConfigStore) -> None:
        """Initialise without answers."""
        self._settings = settings
        self._store = store
        self._answers_by_service: dict[str, set[str]] = defaultdict(set)

    async def accept_confirmed(self) -> None:
        """Accept every candidate after a confirmed `Welcome`."""
        await self._store.accept_candidates(self._store.unconfirmed)

    async def record_answer(
        self, address: str, services: Iterable[str]
    ) -> None:
        """Record that an instance has sent its newest state of services.

        Candidates of services with all answers are accepted.
        """
        for service in services:
            self._answers_by_service[service].add(address)
        complete = [
            name
            for name in self._store.unconfirmed
            if not self.unanswered_controls(name)
        ]
        await self._store.accept_candidates(complete)

    def unanswered_controls(self, service: str) -> set[str]:
        """Return the addresses of control instances without an answer yet."""
        return set(self._settings.control) - self._answers_by_service[service]
