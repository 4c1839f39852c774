"""First answers to edits, kept for resends."""

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

from mustardspur_control.store.records import KeptAnswer

Edit = PutProfile | FollowProfile | OrderMove

# A client resends for minutes, a person's script at most for a day.
RESEND_WINDOW_S: Final = 86_400
# Two days of edits at the design size of 8,500 a day. They are kept whatever
# their age, since a leader's clock that jumped ahead makes answers look old.
ALWAYS_KEPT: Final = 17_000
# More edits than this inside the window are refused rather than forgotten.
MAX_KEPT: Final = 100_000


class EditIdReused(ValueError):
    """Two different edits have the same identifier."""


class AnswerBook:
    """Answers by edit identifier, oldest first.

    Explanation
    ===========

    An answer is dropped only if it is both older than ``RESEND_WINDOW_S``
    and not among the newest ``ALWAYS_KEPT``. If ``MAX_KEPT`` answers are
    younger than the window, a new edit is refused without effect, so the
    size is bounded and no resend within the window ever edits twice.

    Parameters
    ----------
    answers_by_edit : dict of bytes
        The kept answers as msgpack, since a snapshot of many thousand
        records takes several times longer than one of as many bytes. This
        mapping is changed in place.
    """

    __slots__ = ('_answers_by_edit',)

    def __init__(self, answers_by_edit: dict[str, bytes]) -> None:
        """Work on the mapping of the applied state."""
        self._answers_by_edit = answers_by_edit

    @property
    def is_full(self) -> bool:
        """Whether a further edit would push out an answer still needed."""
        return len(self._answers_by_edit) >= MAX_KEPT

    def first_answer(self, edit: Edit) -> EditAnswer | None:
        """Return the answer that an edit got before, None if it is new.

        Raises
        ------
        EditIdReused
            If the identifier belongs to an edit with other content.
        """
        packed = self._answers_by_edit.get(edit.edit_id)
        if packed is None:
            return None
        kept = _unpack(packed)
        if kept.digest != content_digest(edit):
            raise EditIdReused(edit.edit_id)
        return kept.answer

    def keep(self, edit: Edit, answer: EditAnswer) -> None:
        """Keep a first answer."""
        kept = KeptAnswer(
            digest=content_digest(edit),
            at_s=edit.at_s,
            answer=answer,
        )
        self._answers_by_edit[edit.edit_id] = msgpack.packb(encode_array(kept))

    def drop_old(self, now_s: float) -> None:
        """Drop the oldest answers that no resend can ask for any more."""
        while len(self._answers_by_edit) > ALWAYS_KEPT:
            oldest = next(iter(self._answers_by_edit))
            kept = _unpack(self._answers_by_edit[oldest])
            if kept.at_s >= now_s - RESEND_WINDOW_S:
                return
            self._answers_by_edit.pop(oldest)


def content_digest(edit: Edit) -> str:
    """Return a digest of an edit without its time, equal for a resend."""
    timeless = replaced(edit, at_s=0)
    row = [type(edit).__name__, encode_array(timeless)]
    digest: str = xxhash.xxh3_128_hexdigest(msgpack.packb(row))
    return digest


def _unpack(packed: bytes) -> KeptAnswer:
    return decode_array(KeptAnswer, msgpack.unpackb(packed, raw=False))
