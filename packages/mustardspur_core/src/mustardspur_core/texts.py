"""Texts of a bounded length."""


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
