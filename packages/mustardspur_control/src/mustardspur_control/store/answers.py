"""Stored answers to edits, which make resends idempotent."""

from typing import Final

import msgpack
import xxhash
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.edits import (
    EditAnswer,
    FollowProfile,
    OrderMove,
    PutProfile,
)
from mustardspur_core.record import replaced

from mustardspur_control.store.records import StoredAnswer

Edit = PutProfile | FollowProfile | OrderMove

# Clients resend for minutes, operators' scripts for at most a day.
RESEND_WINDOW_S: Final = 86_400
# Two days of edits at the design size of 8,500 a day. These answers do not
# expire: a leader's clock that jumps ahead makes all answers look old.
MIN_STORED_ANSWERS: Final = 17_000
# Edits above this limit within the window are refused: removing an answer
# early would let a resend take effect twice.
MAX_STORED_ANSWERS: Final = 100_000


class EditIdReused(ValueError):
    """An edit identifier was already used by an edit with other content."""


class AnswerHistory:
    """Answers by edit identifier, oldest first.

    Explanation
    ===========

    An answer is removed only if it is both older than ``RESEND_WINDOW_S``
    and not among the newest ``MIN_STORED_ANSWERS``. If
    ``MAX_STORED_ANSWERS`` answers are younger than the window, a new edit
    is refused without effect, so that the size is bounded and no resend
    within the window takes effect twice.

    Parameters
    ----------
    answers_by_edit : dict of bytes
        `StoredAnswer` as msgpack, since a snapshot of many thousand
        records takes several times longer than one of packed bytes. The
        mapping is modified in place.
    """

    __slots__ = ('_answers_by_edit',)

    def __init__(self, answers_by_edit: dict[str, bytes]) -> None:
        """Initialise the history over the mapping of the applied state."""
        self._answers_by_edit = answers_by_edit

    @property
    def is_full(self) -> bool:
        """Whether the limit of stored answers is reached."""
        return len(self._answers_by_edit) >= MAX_STORED_ANSWERS

    def first_answer(self, edit: Edit) -> EditAnswer | None:
        """Return the first answer to an edit, None if the edit is new.

        Raises
        ------
        EditIdReused
            If the identifier belongs to an edit with other content.
        """
        packed = self._answers_by_edit.get(edit.edit_id)
        if packed is None:
            return None
        stored = _unpack(packed)
        if stored.digest != content_digest(edit):
            raise EditIdReused(edit.edit_id)
        return stored.answer

    def record(self, edit: Edit, answer: EditAnswer) -> None:
        """Store the first answer to an edit."""
        stored = StoredAnswer(
            digest=content_digest(edit),
            at_s=edit.at_s,
            answer=answer,
        )
        self._answers_by_edit[edit.edit_id] = msgpack.packb(
            encode_array(stored)
        )

    def remove_expired(self, now_s: float) -> None:
        """Remove the oldest answers whose resend window has passed."""
        while len(self._answers_by_edit) > MIN_STORED_ANSWERS:
            oldest = next(iter(self._answers_by_edit))
            stored = _unpack(self._answers_by_edit[oldest])
            if stored.at_s >= now_s - RESEND_WINDOW_S:
                return
            self._answers_by_edit.pop(oldest)


def content_digest(edit: Edit) -> str:
    """Return a digest of an edit without its time, the same for a resend."""
    timeless = replaced(edit, at_s=0)
    content = [type(edit).__name__, encode_array(timeless)]
    digest: str = xxhash.xxh3_128_hexdigest(msgpack.packb(content))
    return digest


def _unpack(packed: bytes) -> StoredAnswer:
    return decode_array(StoredAnswer, msgpack.unpackb(packed, raw=False))
