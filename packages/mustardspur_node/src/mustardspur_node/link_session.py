"""One connection of a node to a control instance."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Final

from mustardspur_core.messages import (
    Applied,
    Busy,
    ConfigUpdate,
    CutOff,
    Heartbeat,
    Hello,
    ProtocolFault,
    Subscribe,
    TargetUpdate,
    Welcome,
)
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import MessageDispatcher, FrameStream

from mustardspur_node.first_config import FirstConfigs
from mustardspur_node.held import HeldConfig

_FROM_CONTROL: Final = MessageDispatcher('a control instance')
Connect = Callable[[str, float], AbstractAsyncContextManager[FrameStream]]


class BusyControl(ConnectionError):
    """A control instance asks to come back later.

    Parameters
    ----------
    delay_s : float
        When to come back, in seconds.
    """

    def __init__(self, delay_s: float) -> None:
        """Keep the delay."""
        super().__init__(f'busy, come back in {delay_s} s')
        self.delay_s = delay_s


class LinkSession:
    """What was exchanged over one connection.

    Parameters
    ----------
    address : str
        Address of the control instance.
    stream : FrameStream
        The connection.
    hello : Hello
        First frame of the node.
    held : HeldConfig
        Takes what arrives.
    first_configs : FirstConfigs
        Decides on first configurations.
    """

    __slots__ = (
        '_reported',
        'address',
        'control',
        'first_configs',
        'held',
        'hello',
        'is_confirmed',
        'stream',
    )

    def __init__(
        self,
        address: str,
        stream: FrameStream,
        hello: Hello,
        held: HeldConfig,
        first_configs: FirstConfigs,
    ) -> None:
        """Start before `Hello`."""
        self.address = address
        self.stream = stream
        self.hello = hello
        self.held = held
        self.first_configs = first_configs
        self.control: str | None = None
        self.is_confirmed = False
        self._reported: dict[str, Applied] = {}

    async def receive(self) -> None:
        """Wait for a frame and take it.

        Raises
        ------
        BusyControl
            If the instance has no place.
        ConnectionError
            If the instance reports a protocol fault.
        MalformedFrame
            If the frame is none that a control instance sends.
        """
        frame = await self.stream.receive()
        await _FROM_CONTROL.handler_of(frame.body)(self, frame.body)

    def report(self, service: str) -> None:
        """Report what is in force for a service, if that is news."""
        report = self.held.applied(service)
        if self.control is None or self._reported.get(service) == report:
            return
        self._reported[service] = report
        self.stream.enqueue(report)

    def may_accept(self, service: str) -> bool:
        """Return whether a first configuration needs no confirmation."""
        asked_all = not self.first_configs.unasked(service)
        return asked_all or (self.is_confirmed and self.control is not None)

    def ask_again(self, service: str) -> None:
        """Ask for a full copy of a service."""
        self.stream.enqueue(Subscribe(services=[service]))


@_FROM_CONTROL.handles(Welcome)
async def _take_welcome(session: LinkSession, welcome: Welcome) -> None:
    session.control = welcome.control
    session.is_confirmed = welcome.confirmed
    if welcome.confirmed:
        await session.first_configs.confirmed()
    # Services that were added after `Hello` are not part of the answer.
    await session.first_configs.answered(
        session.address,
        session.hello.services,
    )
    for service in session.held.services:
        session.report(service)


@_FROM_CONTROL.handles(ConfigUpdate)
async def _take_config(session: LinkSession, update: ConfigUpdate) -> None:
    accept = session.may_accept(update.service)
    if not await session.held.take_config(update, accept):
        session.ask_again(update.service)
    session.report(update.service)


@_FROM_CONTROL.handles(TargetUpdate)
async def _take_targets(session: LinkSession, update: TargetUpdate) -> None:
    if not await session.held.take_targets(update):
        session.ask_again(update.service)
    session.report(update.service)


@_FROM_CONTROL.handles(CutOff)
async def _take_cut_off(session: LinkSession, cut_off: CutOff) -> None:
    await session.held.cut_off(cut_off)


@_FROM_CONTROL.handles(Heartbeat)
async def _take_heartbeat(session: LinkSession, beat: Heartbeat) -> None:
    """The arrival itself shows that the instance is there."""


@_FROM_CONTROL.handles(Busy)
async def _take_busy(session: LinkSession, busy: Busy) -> None:
    raise BusyControl(busy.retry_after_ms / MS_PER_S)


@_FROM_CONTROL.handles(ProtocolFault)
async def _take_fault(session: LinkSession, fault: ProtocolFault) -> None:
    raise ConnectionAbortedError(f'{fault.kind}: {fault.detail}')
