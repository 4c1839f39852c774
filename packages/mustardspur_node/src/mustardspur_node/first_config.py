"""When a node without an earlier configuration may accept one."""

from collections import defaultdict
from collections.abc import Iterable

from mustardspur_core.settings import Settings

from mustardspur_node.held import HeldConfig


class FirstConfigs:
    """Counts which control instances answered for a service.

    Explanation
    ===========

    A node that has lost what it held may accept a first configuration if
    the control instance confirmed its state after the connection, or once
    every control instance in its settings has answered; the highest index
    among the answers is then at least as high as any that it ever held.

    Parameters
    ----------
    settings : Settings
        Settings of the node, for the list of control instances.
    held : HeldConfig
        Keeps the candidates.
    """

    __slots__ = ('_answers', '_held', '_settings')

    def __init__(self, settings: Settings, held: HeldConfig) -> None:
        """Start without answers."""
        self._settings = settings
        self._held = held
        self._answers: dict[str, set[str]] = defaultdict(set)

    async def confirmed(self) -> None:
        """Accept every candidate, since the stream's state is current."""
        await self._held.accept_candidates(self._held.unconfirmed)

    async def answered(self, address: str, services: Iterable[str]) -> None:
        """Note that an instance sent all that it has of some services."""
        for service in services:
            self._answers[service].add(address)
        complete = [
            name for name in self._held.unconfirmed if not self.unasked(name)
        ]
        await self._held.accept_candidates(complete)

    def unasked(self, service: str) -> set[str]:
        """Return the control instances that have not answered yet."""
        return set(self._settings.control) - self._answers[service]
