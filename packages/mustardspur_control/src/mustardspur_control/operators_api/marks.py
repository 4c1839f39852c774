"""Marks that tell how current a read is."""

import asyncio
from typing import Any, Final

from expression import Error, Result
from mustardspur_agreement.ports import ProposalError

from mustardspur_control.operators_api.ports import OperatorsContext

# A few round trips between regions, and shorter than a person's patience.
BARRIER_TIMEOUT_S: Final = 3


async def read_mark(context: OperatorsContext) -> dict[str, Any]:
    """Wait until this instance is current, and say at which index it is.

    Returns
    -------
    dict
        ``read_index``, and ``possibly_stale`` with its reason where no
        quorum confirmed that the index is current.
    """
    barrier = await _barrier(context)
    if barrier.is_ok():
        return _mark(max(barrier.ok, context.store.index), '')
    error = barrier.error
    return _mark(context.store.index, f'{error.kind}: {error.detail}')


async def _barrier(context: OperatorsContext) -> Result[int, ProposalError]:
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


def _mark(index: int, stale_reason: str) -> dict[str, Any]:
    return {
        'read_index': index,
        'possibly_stale': bool(stale_reason),
        'stale_reason': stale_reason,
    }
