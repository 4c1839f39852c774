"""The organisations that call, as far as evidence tells them apart."""

from typing import Final

from aiohttp import web

from mustardspur_node.calls import names

# Evidence is kept for each caller, and the names come from outside.
MAX_CALLERS: Final = 16
MAX_NAME_CHARS: Final = 64


class Callers:
    """The first callers that a node sees; all others count as one."""

    __slots__ = ('_names',)

    def __init__(self) -> None:
        """Start without callers."""
        self._names: set[str] = set()

    def known(self, request: web.BaseRequest) -> str:
        """Return the caller of a request, empty if it counts as the rest."""
        name = request.headers.get(names.CALLER, '')
        if name in self._names:
            return name
        if len(self._names) >= MAX_CALLERS or len(name) > MAX_NAME_CHARS:
            return ''
        if name:
            self._names.add(name)
        return name
