"""Submits edits to the replicated log."""

import asyncio
from typing import Final

from aiohttp import web
from expression import Error, Result
from mustardspur_agreement.ports import Committed, ProposalError
from mustardspur_core.edits import EditAnswer
from mustardspur_core.findings import Finding
from mustardspur_core.wire import encode_frame

from mustardspur_control.operators_api.ports import OperatorsContext
from mustardspur_control.operators_api.responses import (
    answer_response,
    findings_response,
    not_leader,
    unavailable_response,
)
from mustardspur_control.store import EditIdReused, edit_findings
from mustardspur_control.store.answers import Edit

# Longer than an election and a few round trips between regions.
PROPOSAL_TIMEOUT_S: Final = 10


async def submit(context: OperatorsContext, edit: Edit) -> web.Response:
    """Check an edit, commit it and return the response.

    Explanation
    ===========

    An edit with findings is not proposed. It may be the resend of an
    accepted edit whose deadline has passed since, so the stored answer is
    looked up first, in a state that a read barrier confirmed.
    """
    if not context.log.is_leader:
        return unavailable_response(context, not_leader(context))
    findings = edit_findings(edit)
    if findings:
        return await _answer_invalid(context, edit, findings)
    proposal = await _propose(context, edit)
    if proposal.is_error():
        return unavailable_response(context, proposal.error)
    answer = proposal.ok.answer
    if not isinstance(answer, EditAnswer):
        raise TypeError(
            f'expected EditAnswer from the log, got {type(answer).__name__}'
        )
    return answer_response(answer)


async def _propose(
    context: OperatorsContext,
    edit: Edit,
) -> Result[Committed, ProposalError]:
    try:
        async with asyncio.timeout(PROPOSAL_TIMEOUT_S):
            return await context.log.propose(encode_frame(edit))
    except TimeoutError:
        error = ProposalError(
            kind='unknown',
            detail=f'not known to be committed after {PROPOSAL_TIMEOUT_S} s',
            leader=context.log.leader,
        )
        return Error(error)


async def _answer_invalid(
    context: OperatorsContext,
    edit: Edit,
    findings: list[Finding],
) -> web.Response:
    barrier = await context.log.read_barrier()
    if barrier.is_error():
        return unavailable_response(context, barrier.error)
    try:
        first = context.store.first_answer(edit)
    except EditIdReused:
        return findings_response(findings)
    if first is None:
        return findings_response(findings)
    return answer_response(first)
