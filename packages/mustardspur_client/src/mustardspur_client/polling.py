"""Repeated reads until something has happened."""

import asyncio
import time
from argparse import ArgumentParser
from collections.abc import AsyncIterator
from typing import Any, Final

from mustardspur_client.invocation import Invocation

DEFAULT_INTERVAL_S: Final = 0.5


def add_polling_arguments(
    parser: ArgumentParser,
    within_s: float | None,
) -> None:
    """Add for how long to wait and how often to read.

    Parameters
    ----------
    parser : ArgumentParser
        Parser of the verb.
    within_s : float or None
        Default of the longest wait in seconds, None for no limit.
    """
    shown = 'without limit' if within_s is None else f'{within_s}'
    parser.add_argument(
        '--within',
        type=float,
        default=within_s,
        metavar='SECONDS',
        help=f'longest wait, {shown} by default',
    )
    parser.add_argument(
        '--interval',
        type=float,
        default=DEFAULT_INTERVAL_S,
        metavar='SECONDS',
        help=f'time between two reads, {DEFAULT_INTERVAL_S} by default',
    )


async def poll(
    invocation: Invocation,
    path: str,
) -> AsyncIterator[dict[str, Any]]:
    """Yield the body of a read, again and again until the time is over.

    The first read is made whatever the time.
    """
    within_s = invocation.option('within')
    start_s = time.monotonic()
    while True:
        yield await invocation.control.read(path)
        passed_s = time.monotonic() - start_s
        if within_s is not None and passed_s >= within_s:
            return
        await asyncio.sleep(invocation.option('interval'))
