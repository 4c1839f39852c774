"""From an entry of the log to its effect on the applied state."""

from mustardspur_core.edits import FollowProfile, OrderMove, PutProfile
from mustardspur_core.record import Record
from mustardspur_core.wire import MalformedFrame, decode_frame

from mustardspur_control.store import following, orders, profiles, steps
from mustardspur_control.store.answers import (
    MAX_KEPT,
    AnswerBook,
    Edit,
    EditIdReused,
)
from mustardspur_control.store.checks import edit_findings
from mustardspur_control.store.handlers import Effect, effect, handler_of
from mustardspur_control.store.records import StoreState
from mustardspur_control.store.results import edit_finding, refused

# Importing these modules registers what each type of entry does.
ENTRY_MODULES = (following, orders, profiles, steps)


def apply_entry(
    state: StoreState,
    answers: AnswerBook,
    index: int,
    entry: bytes,
) -> Effect:
    """Apply an entry of the log and return its effect.

    Parameters
    ----------
    state : StoreState
        The applied state, changed in place.
    answers : AnswerBook
        First answers to edits, changed in place.
    index : int
        Log index of the entry.
    entry : bytes
        The entry; one that cannot be decoded has no effect but an answer,
        so that every replica goes on in the same way.
    """
    try:
        body = decode_frame(entry).body
    except MalformedFrame as error:
        finding = edit_finding('$', 'an entry of the log', error)
        return effect(refused(index, [finding]))
    if isinstance(body, PutProfile | FollowProfile | OrderMove):
        return _apply_edit(state, answers, index, body)
    return _apply_body(state, index, body)


def _apply_edit(
    state: StoreState,
    answers: AnswerBook,
    index: int,
    edit: Edit,
) -> Effect:
    try:
        first = answers.first_answer(edit)
    except EditIdReused:
        finding = edit_finding('$.edit_id', 'an unused one', edit.edit_id)
        return effect(refused(index, [finding]))
    if first is not None:
        return effect(first)
    answers.drop_old(edit.at_s)
    if answers.is_full:
        return _too_many(index)
    findings = edit_findings(edit)
    if findings:
        outcome = effect(refused(index, findings))
    else:
        outcome = _apply_body(state, index, edit)
    answers.keep(edit, outcome.answer)
    return outcome


def _apply_body(state: StoreState, index: int, body: Record) -> Effect:
    handler = handler_of(body)
    if handler is None:
        finding = edit_finding('$', 'an edit or a step', type(body).__name__)
        return effect(refused(index, [finding]))
    return handler(state, index, body)


def _too_many(index: int) -> Effect:
    finding = edit_finding(
        '$.edit_id',
        f'fewer than {MAX_KEPT} edits within the resend window',
        MAX_KEPT,
    )
    return effect(refused(index, [finding]))
