"""Cut-offs of bad versions, merged by set union."""

from collections.abc import Callable

from mustardspur_core.messages import CutOff


class CutOffs:
    """First cut-off of each move; cut-offs are never removed."""

    __slots__ = ('_callbacks', 'by_move')

    def __init__(self) -> None:
        """Initialise without cut-offs."""
        self.by_move: dict[str, CutOff] = {}
        self._callbacks: list[Callable[[CutOff], None]] = []

    def on_new(self, callback: Callable[[CutOff], None]) -> None:
        """Register a callback for the first cut-off of each move."""
        self._callbacks.append(callback)

    def add(self, cut_off: CutOff) -> bool:
        """Add a cut-off; return whether it is the first of its move."""
        if cut_off.move in self.by_move:
            return False
        self.by_move[cut_off.move] = cut_off
        for callback in self._callbacks:
            callback(cut_off)
        return True


def service_of(move: str) -> str:
    """Return the service, which starts the identifier of a move."""
    return move.split(':', 1)[0]
