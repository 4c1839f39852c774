"""Repeated reads until a condition holds or a timeout expires."""

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
    """Add the options for the longest wait and the interval of reads.

    Parameters
    ----------
    parser : ArgumentParser
        Parser of the verb.
    within_s : float or None
        Default of the longest wait in seconds, None for no limit.
    """
    default_text = 'without limit' if within_s is None else f'{within_s}'
    parser.add_argument(
        '--within',
        type=float,
        default=within_s,
        metavar='SECONDS',
        help=f'longest wait, {default_text} by default',
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
    """Yield the body of a read at each interval until the timeout.

    At least one read is made, even if the longest wait is 0.
    """
    within_s = invocation.option('within')
    start_s = time.monotonic()
    while True:
        yield await invocation.control.read(path)
        elapsed_s = time.monotonic() - start_s
        if within_s is not None and elapsed_s >= within_s:
            return
        await asyncio.sleep(invocation.option('interval'))
