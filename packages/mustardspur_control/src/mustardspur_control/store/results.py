"""Builders of answers to edits."""

from collections.abc import Sequence

from mustardspur_core.edits import AnswerStatus, EditAnswer
from mustardspur_core.findings import Finding


def accepted(index: int, number: int, changes: Sequence[str]) -> EditAnswer:
    """Return the answer to an edit that took effect.

    Parameters
    ----------
    index : int
        Log index of the edit.
    number : int
        Number of the profile, or step of the move, after the edit.
    changes : sequence of str
        Changes by the edit, including moves that it started or ended.
    """
    return EditAnswer(
        status=AnswerStatus.ACCEPTED.value,
        index=index,
        number=number,
        edited_by='',
        changes=list(changes),
        findings=[],
    )


def conflict(
    index: int,
    number: int,
    edited_by: str,
    changes: Sequence[str],
) -> EditAnswer:
    """Return the answer to an edit that conflicts with an earlier one."""
    return EditAnswer(
        status=AnswerStatus.CONFLICT.value,
        index=index,
        number=number,
        edited_by=edited_by,
        changes=list(changes),
        findings=[],
    )


def refused(
    index: int,
    findings: Sequence[Finding],
    status: AnswerStatus = AnswerStatus.INVALID,
) -> EditAnswer:
    """Return the answer to an edit that is invalid or names unknown items."""
    return EditAnswer(
        status=status.value,
        index=index,
        number=0,
        edited_by='',
        changes=[],
        findings=list(findings),
    )


def edit_finding(path: str, expected: str, found: object) -> Finding:
    """Return a finding about an edit."""
    return Finding(
        source='edit',
        path=path,
        expected=expected,
        found=str(found),
    )
