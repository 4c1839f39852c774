"""Texts of a bounded length."""

from typing import Final

# Of an error whose text can contain what another process sent.
MAX_ERROR_CHARS: Final = 500


def shorten(text: str, limit: int) -> str:
    """Return a text of at most a number of characters, or a part of it.

    The middle of a longer text is replaced by a mark with the number of the
    characters that are left out, in addition to the limit.
    """
    if len(text) <= limit:
        return text
    end = limit // 2
    omitted = len(text) - limit
    mark = f'[{omitted} characters cut]'
    return ''.join((text[: limit - end], mark, text[-end:]))


def describe_error(error: BaseException) -> str:
    """Return the type of an error and a part of its text.

    The representation of an error of a decoder contains all of its input.
    """
    return f'{type(error).__name__}: {shorten(str(error), MAX_ERROR_CHARS)}'
