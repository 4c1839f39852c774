"""Statuses of HTTP answers."""

from http import HTTPStatus
from typing import Final

LARGEST_STATUS: Final = 599


def is_status(number: int) -> bool:
    """Return whether a number is a status, of an interim answer or not.

    Parsers accept any three digits in a status line.
    """
    return HTTPStatus.CONTINUE <= number <= LARGEST_STATUS


def is_final_status(number: int) -> bool:
    """Return whether a number is the status of an answer to a request."""
    return HTTPStatus.OK <= number <= LARGEST_STATUS
