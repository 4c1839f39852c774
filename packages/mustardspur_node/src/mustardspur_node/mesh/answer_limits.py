"""Limits on an answer that a target sends."""

from typing import Final

from mustardspur_core.framing_limits import FramingLimits, HeadTooLarge

from mustardspur_node.mesh.answer_budget import AnswerTooLong

# Status line and headers of an answer together, with what comes before them:
# empty lines and interim answers.
MAX_HEAD_BYTES: Final = 131_072


class AnswerLimits:
    """Decides whether an answer may go on, before its bytes are kept.

    Parameters
    ----------
    payload_bytes : int
        Longest payload of one answer.
    """

    __slots__ = ('_framing', '_payload_bytes', '_received')

    def __init__(self, payload_bytes: int) -> None:
        """Initialise without bytes."""
        self._payload_bytes = payload_bytes
        self._framing = FramingLimits()
        # Payload of the open body.
        self._received = 0

    def add_head(self, size: int) -> None:
        """Count received bytes that complete no answer's head.

        Raises
        ------
        AnswerTooLong
            If the head, with what came before it, exceeds the limit.
        """
        try:
            self._framing.add_head(size, MAX_HEAD_BYTES)
        except HeadTooLarge:
            raise AnswerTooLong('head too long') from None

    def begin_body(self) -> None:
        """Count the payload of a body from now on."""
        self._received = 0

    def add_body(self, payload_size: int) -> None:
        """Count received payload of the open body.

        Raises
        ------
        AnswerTooLong
            If the payload exceeds the limit.
        """
        self._received += payload_size
        if self._received > self._payload_bytes:
            raise AnswerTooLong('body too long')
