"""Texts of a bounded length."""

from typing import Final

# Of an error whose text can contain what another process sent.
MAX_ERROR_CHARS: Final = 500
# Of a value that another process sent, in the text of an error.
MAX_SHOWN_CHARS: Final = 80


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


def show(text: str) -> str:
    """Return the start of a text that another process sent, as a literal."""
    literal = repr(text[:MAX_SHOWN_CHARS])
    if len(text) <= MAX_SHOWN_CHARS:
        return literal
    return f'{literal}... of {len(text)} characters'


def parse_number(text: str) -> float:
    """Return the number that a text states.

    Raises
    ------
    ValueError
        If it is none; the error of `float` contains the whole text.
    """
    try:
        return float(text)
    except ValueError:
        raise ValueError(
            f'could not convert text to float: {show(text)}'
        ) from None
