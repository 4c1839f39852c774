"""Guards against answers that expire too early or never."""

from unittest import mock

import pytest
from mustardspur_control.store import Store, answers
from mustardspur_core.edits import EditAnswer

from tests.control.builders import NOW_S, apply_all, put

MIN_STORED, MAX_STORED = 4, 8
DAY_S = 86_400


@pytest.fixture(autouse=True)
def _small_limits() -> object:
    with (
        mock.patch.object(answers, 'MIN_STORED_ANSWERS', MIN_STORED),
        mock.patch.object(answers, 'MAX_STORED_ANSWERS', MAX_STORED),
    ):
        yield


def _edit(store: Store, number: int, at_s: float) -> EditAnswer:
    edit = put('1.0', number, edit_id=f'e{number}', at_s=at_s)
    return apply_all(store, edit)[0]


# Times of the edits in days after the first one, the number of the edit that
# is sent again at the end, and whether it gets its first answer.
CASES = (
    ([0, 0, 0, 0, 0.9], 0, True),
    ([0, 0, 0, 0, 2, 2], 0, False),
    ([0, 0, 0, 0, 2, 2], 2, True),
    ([0, 2, 4, 6], 0, True),
    ([0, 0, 0, 0.5, 1.1, 1.2, 1.4], 3, True),
)


@pytest.mark.parametrize(('days', 'number', 'known'), CASES)
def test_expiry_of_answers(
    days: list[float],
    number: int,
    known: bool,
) -> None:
    """Guards against a resend within a day that edits again."""
    store = Store()
    times = [NOW_S + day * DAY_S for day in days]
    first = [_edit(store, count, at_s) for count, at_s in enumerate(times)]
    again = _edit(store, number, times[-1] + 1)
    assert (again == first[number]) is known
    assert (again.status == 'accepted') is known


def test_full_history_refuses_edits() -> None:
    """Guards against unbounded answers and against early expiry."""
    store = Store()
    first = [_edit(store, number, NOW_S) for number in range(MAX_STORED)]
    refused = _edit(store, MAX_STORED, NOW_S)
    assert refused.status == 'invalid'
    assert _edit(store, 0, NOW_S) == first[0]
    later = _edit(store, MAX_STORED, NOW_S + 2 * DAY_S)
    assert later.status == 'accepted'


def test_clock_jump_keeps_newest_answers() -> None:
    """Guards against a leader's wrong clock that clears all answers."""
    store = Store()
    first = [_edit(store, number, NOW_S) for number in range(MIN_STORED)]
    _edit(store, MIN_STORED, NOW_S + 365 * DAY_S)
    assert [
        _edit(store, number, NOW_S) for number in range(1, MIN_STORED)
    ] == first[1:]
