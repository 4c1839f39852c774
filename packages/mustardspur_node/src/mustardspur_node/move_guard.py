"""Connects the guard of moves to the node's stream and views."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.settings import Settings
from mustardspur_core.tasks import background, run_periodically
from mustardspur_moves import Guard

from mustardspur_node.control_link import ControlLink

TICK_S: Final = 1.0


class LinkOutbox:
    """Takes what the guard sends; cut-offs are in force here first.

    Parameters
    ----------
    link : ControlLink
        Stream to a control instance, and what the node holds.
    """

    __slots__ = ('_cut_offs', '_link')

    def __init__(self, link: ControlLink) -> None:
        """Send over a link."""
        self._link = link
        self._cut_offs: asyncio.Queue[CutOff] = asyncio.Queue()

    def send(self, report: Outcomes | CutOff) -> None:
        """Send evidence now, a cut-off once it is in force here."""
        if isinstance(report, CutOff):
            self._cut_offs.put_nowait(report)
        else:
            self._link.send_outcomes(report)

    async def run(self) -> None:
        """Put cut-offs in force and pass them on, for ever."""
        while True:
            await self._link.cut_off(await self._cut_offs.get())


@asynccontextmanager
async def running_guard(
    settings: Settings,
    link: ControlLink,
) -> AsyncIterator[Guard]:
    """Watch moves for the length of a block.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    link : ControlLink
        Where reports and cut-offs go.
    """
    outbox = LinkOutbox(link)
    guard = Guard(settings.id, outbox.send, _known_already)
    async with background(outbox.run(), run_periodically(TICK_S, guard.tick)):
        yield guard


def _known_already(cut_off: CutOff) -> None:
    """The outbox and the stream put each cut-off in force themselves."""
