"""Work on large documents beside the event loop."""

import asyncio
from collections.abc import Callable
from typing import Final, ParamSpec, TypeVar

# Decoding a document of this size takes about as long as a heartbeat of the
# replicated log may be late.
LARGE_DOCUMENT_BYTES: Final = 262_144

_Arguments = ParamSpec('_Arguments')
_ResultT = TypeVar('_ResultT')


async def run_large(
    size: int,
    call: Callable[_Arguments, _ResultT],
    *args: _Arguments.args,
    **kwargs: _Arguments.kwargs,
) -> _ResultT:
    """Call a function, in a thread if its document is large.

    Parameters
    ----------
    size : int
        Bytes of the document.
    call : callable
        Uses nothing that changes meanwhile.
    """
    if size < LARGE_DOCUMENT_BYTES:
        return call(*args, **kwargs)
    return await asyncio.to_thread(call, *args, **kwargs)
