"""Connects the guard of moves to the stream of the node."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.settings import Settings
from mustardspur_core.tasks import background, run_periodically
from mustardspur_moves import Guard

from mustardspur_node.control_link import ControlLink

TICK_INTERVAL_S: Final = 1.0


class LinkOutbox:
    """Sends the messages of the guard; applies cut-offs here first.

    Parameters
    ----------
    link : ControlLink
        Stream to a control instance.
    """

    __slots__ = ('_cut_offs', '_link')

    def __init__(self, link: ControlLink) -> None:
        """Initialise without pending cut-offs."""
        self._link = link
        self._cut_offs: asyncio.Queue[CutOff] = asyncio.Queue()

    def send(self, report: Outcomes | CutOff) -> None:
        """Send evidence at once, and a cut-off after it is in force here."""
        if isinstance(report, CutOff):
            self._cut_offs.put_nowait(report)
        else:
            self._link.send_outcomes(report)

    async def run(self) -> None:
        """Apply and send cut-offs until the task is cancelled."""
        while True:
            await self._link.cut_off(await self._cut_offs.get())


@asynccontextmanager
async def running_guard(
    settings: Settings,
    link: ControlLink,
) -> AsyncIterator[Guard]:
    """Run the guard of moves for the length of a block.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    link : ControlLink
        Sends the evidence and cut-offs.
    """
    outbox = LinkOutbox(link)
    guard = Guard(settings.id, outbox.send, _ignore_cut_off)
    async with background(
        outbox.run(), run_periodically(TICK_INTERVAL_S, guard.tick)
    ):
        yield guard


def _ignore_cut_off(cut_off: CutOff) -> None:
    """Do nothing: the outbox and the stream apply each cut-off."""
