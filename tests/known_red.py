"""Tests that are listed in ``KNOWN-RED.txt`` as expected to fail."""

from pathlib import Path
from typing import Final

_LIST: Final = Path(__file__).parents[1] / 'KNOWN-RED.txt'


def known_red() -> list[str]:
    """Return the node identifiers of the listed tests."""
    if not _LIST.exists():
        return []
    lines = _LIST.read_text('utf-8').splitlines()
    return [line.strip() for line in lines if line and line[0] not in ' #']
