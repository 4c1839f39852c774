"""Limits on an answer that a target sends."""

from typing import Final

from aiohttp.http_parser import RawResponseMessage
from mustardspur_core.framing_limits import (
    DEFAULT_FRAMING_BYTES,
    FramingLimits,
    FramingTooLarge,
    HeadTooLarge,
    LengthTooLarge,
    parse_length,
)

from mustardspur_node.mesh.answer_budget import AnswerTooLong

# Status line and headers of an answer together, with what comes before them:
# empty lines and interim answers.
MAX_HEAD_BYTES: Final = 131_072
# Sizes and extensions of chunks, and trailers, of a whole answer. Beyond it an
# answer may have as many bytes of them as it has payload, so that only chunks
# of less than 6 bytes or extensions exceed it.
MAX_FRAMING_BYTES: Final = 262_144


class AnswerLimits:
    """Decides whether an answer may go on, before its bytes are kept.

    Parameters
    ----------
    payload_bytes : int
        Longest payload of one answer.
    """

    __slots__ = ('_body_bytes', '_framing', '_payload_bytes', '_received')

    def __init__(self, payload_bytes: int) -> None:
        """Initialise without bytes."""
        self._payload_bytes = payload_bytes
        self._framing = FramingLimits()
        # Bytes of the open body, and those of them that are payload.
        self._body_bytes = 0
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

    def begin_body(self, message: RawResponseMessage) -> None:
        """Count the bytes of a body from now on.

        Raises
        ------
        AnswerTooLong
            If the stated length exceeds the limit.
        """
        self._body_bytes = 0
        self._received = 0
        if message.chunked:
            return
        if announced_bytes(message) > self._payload_bytes:
            raise AnswerTooLong('announced length too large')

    def add_body(self, size: int, payload_size: int) -> None:
        """Count received bytes of the open body.

        Parameters
        ----------
        size : int
            The received bytes.
        payload_size : int
            Those of them that are payload.

        Raises
        ------
        AnswerTooLong
            If the payload, or what is no payload, exceeds the limit.
        """
        self._body_bytes += size
        self._received += payload_size
        if self._received > self._payload_bytes:
            raise AnswerTooLong('body too long')
        framing_bytes = self._body_bytes - self._received
        if framing_bytes > MAX_FRAMING_BYTES + self._received:
            raise AnswerTooLong('framing of the body too long')
        try:
            self._framing.add_body(size, self._received, DEFAULT_FRAMING_BYTES)
        except FramingTooLarge:
            raise AnswerTooLong('framing of the body too long') from None


def announced_bytes(message: RawResponseMessage) -> int:
    """Return the length that an answer states, 0 if it states none.

    Raises
    ------
    AnswerTooLong
        If no body has it.
    """
    try:
        return parse_length(message.headers.get('content-length', '0'))
    except LengthTooLarge:
        raise AnswerTooLong('announced length too large') from None
