"""Names of the callers for which outcomes are reported separately."""

from typing import Final

from aiohttp import web

from mustardspur_node.calls import names

# Outcomes are stored for each caller and the names are untrusted input, so
# their number and length are bounded.
MAX_CALLERS: Final = 16
MAX_NAME_CHARS: Final = 64


class CallerRegistry:
    """Names of the first callers of a node; all others count as one."""

    __slots__ = ('_names',)

    def __init__(self) -> None:
        """Initialise without callers."""
        self._names: set[str] = set()

    def identify(self, request: web.BaseRequest) -> str:
        """Return the name of the caller, empty if it counts as the others."""
        name = request.headers.get(names.CALLER, '')
        if name in self._names:
            return name
        if len(self._names) >= MAX_CALLERS or len(name) > MAX_NAME_CHARS:
            return ''
        if name:
            self._names.add(name)
        return name
