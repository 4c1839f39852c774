"""Read barrier and staleness of reads."""

import asyncio
from typing import Any, Final

from expression import Error, Result
from mustardspur_agreement.ports import ProposalError

from mustardspur_control.operators_api.ports import OperatorsContext

# A few round trips between regions, and short enough for interactive use.
BARRIER_TIMEOUT_S: Final = 3


async def read_staleness(context: OperatorsContext) -> dict[str, Any]:
    """Run a read barrier and return the index and staleness of a read.

    Returns
    -------
    dict
        ``read_index``, ``possibly_stale`` and ``stale_reason``. A read is
        possibly stale if no quorum confirmed the index; the reason is
        empty otherwise.
    """
    barrier = await _confirm_index(context)
    if barrier.is_ok():
        return _staleness(max(barrier.ok, context.store.index), '')
    error = barrier.error
    return _staleness(context.store.index, f'{error.kind}: {error.detail}')


async def _confirm_index(
    context: OperatorsContext,
) -> Result[int, ProposalError]:
    try:
        async with asyncio.timeout(BARRIER_TIMEOUT_S):
            return await context.log.read_barrier()
    except TimeoutError:
        error = ProposalError(
            kind='no_quorum',
            detail=f'no read barrier within {BARRIER_TIMEOUT_S} s',
            leader=context.log.leader,
        )
        return Error(error)


def _staleness(index: int, stale_reason: str) -> dict[str, Any]:
    return {
        'read_index': index,
        'possibly_stale': bool(stale_reason),
        'stale_reason': stale_reason,
    }
