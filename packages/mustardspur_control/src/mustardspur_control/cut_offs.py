"""Cut-offs of bad versions, passed on by set union."""

from collections.abc import Callable

from mustardspur_core.messages import CutOff


class CutOffs:
    """The first cut-off of each move; none is ever withdrawn."""

    __slots__ = ('_callbacks', 'by_move')

    def __init__(self) -> None:
        """Start without cut-offs."""
        self.by_move: dict[str, CutOff] = {}
        self._callbacks: list[Callable[[CutOff], None]] = []

    def on_new(self, callback: Callable[[CutOff], None]) -> None:
        """Call back with each cut-off that was not known."""
        self._callbacks.append(callback)

    def add(self, cut_off: CutOff) -> bool:
        """Take a cut-off; return whether it was not known."""
        if cut_off.move in self.by_move:
            return False
        self.by_move[cut_off.move] = cut_off
        for callback in self._callbacks:
            callback(cut_off)
        return True


def service_of(move: str) -> str:
    """Return the service in a move's identifier."""
    return move.split(':', 1)[0]
