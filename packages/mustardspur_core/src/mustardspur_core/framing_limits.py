"""Limits on the bytes of a connection that bring neither request nor body."""

from typing import Final

# Bytes that are no payload of a chunked body. The size line of a chunk is less
# than this, and ordinary clients send neither extensions nor trailers.
DEFAULT_FRAMING_BYTES: Final = 16_384
# Longest length of a body in digits. The parser takes the greatest number of
# 64 bits for no length, and passes on a body without bytes.
MAX_LENGTH_DIGITS: Final = 18
# Longest text of a length; `int` fails at 4,300 digits, also of zeros.
MAX_LENGTH_CHARS: Final = 64


class HeadTooLarge(Exception):
    """A head, or the empty lines before it, exceeds the limit."""


class FramingTooLarge(Exception):
    """Extensions or trailers of a chunked body exceed the limit."""


class LengthTooLarge(Exception):
    """The stated length of a body is larger than any body."""


class FramingLimits:
    """Counts the bytes since the latest head, or the latest part of a body.

    Explanation
    ===========

    The parser limits lines and their number, but not their sum; it skips empty
    lines before a head and extensions of chunks without a count.

    Attributes
    ----------
    head_bytes : int
        Bytes of the head that is not complete.
    """

    __slots__ = ('_framing_bytes', '_payload_bytes', 'head_bytes')

    def __init__(self) -> None:
        """Initialise without bytes."""
        self.head_bytes = 0
        self._framing_bytes = 0
        # Length of the open body when it was last seen.
        self._payload_bytes = 0

    def complete_head(self) -> None:
        """Start again, since a head is complete."""
        self.head_bytes = 0
        self._framing_bytes = 0
        self._payload_bytes = 0

    def add_head(self, size: int, limit: int) -> None:
        """Count received bytes that complete no head.

        Raises
        ------
        HeadTooLarge
            If there are more than the limit.
        """
        self.head_bytes += size
        if self.head_bytes > limit:
            raise HeadTooLarge

    def add_body(self, size: int, payload_bytes: int, limit: int) -> None:
        """Count bytes that were received within a body.

        Parameters
        ----------
        size : int
            The received bytes.
        payload_bytes : int
            Length of the body up to now.
        limit : int
            Bytes that may arrive without payload.

        Raises
        ------
        FramingTooLarge
            If more have arrived since the latest payload.
        """
        if payload_bytes != self._payload_bytes:
            self._payload_bytes = payload_bytes
            self._framing_bytes = 0
            return
        self._framing_bytes += size
        if self._framing_bytes > limit:
            raise FramingTooLarge


def parse_length(stated: str) -> int:
    """Return the stated length of a body, which the parser has accepted.

    Raises
    ------
    LengthTooLarge
        If it has more than `MAX_LENGTH_DIGITS` or `MAX_LENGTH_CHARS`.
    """
    digits = stated.lstrip('0')
    if len(digits) > MAX_LENGTH_DIGITS or len(stated) > MAX_LENGTH_CHARS:
        raise LengthTooLarge
    return int(digits or '0')
