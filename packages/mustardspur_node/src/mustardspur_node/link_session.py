"""Session of a node with a control instance."""

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
from mustardspur_core.texts import MAX_ERROR_CHARS, shorten
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import FrameStream, MessageDispatcher

from mustardspur_node.config_store import ConfigStore
from mustardspur_node.first_config_acceptance import FirstConfigAcceptance

_FROM_CONTROL: Final = MessageDispatcher('a control instance')
Connect = Callable[[str, float], AbstractAsyncContextManager[FrameStream]]


class ControlBusyError(ConnectionError):
    """A control instance refused the node and set a retry delay.

    Parameters
    ----------
    delay_s : float
        Delay in seconds.
    """

    def __init__(self, delay_s: float) -> None:
        """Initialise with the delay."""
        super().__init__(f'control instance is busy, retry in {delay_s} s')
        self.delay_s = delay_s


class LinkSession:
    """Applies the frames of a control instance and reports to it.

    Parameters
    ----------
    address : str
        Address of the control instance.
    stream : FrameStream
        Stream to the control instance.
    hello : Hello
        First frame of the node.
    store : ConfigStore
        Receives configurations, targets and cut-offs.
    first_configs : FirstConfigAcceptance
        Decides when first configurations are accepted.
    """

    __slots__ = (
        '_last_reports',
        'address',
        'control',
        'first_configs',
        'hello',
        'is_confirmed',
        'store',
        'stream',
    )

    def __init__(
        self,
        address: str,
        stream: FrameStream,
        hello: Hello,
        store: ConfigStore,
        first_configs: FirstConfigAcceptance,
    ) -> None:
        """Initialise before `Hello` is sent."""
        self.address = address
        self.stream = stream
        self.hello = hello
        self.store = store
        self.first_configs = first_configs
        self.control: str | None = None
        self.is_confirmed = False
        self._last_reports: dict[str, Applied] = {}

    async def receive(self) -> None:
        """Receive and apply one frame.

        Raises
        ------
        ControlBusyError
            If the control instance refuses the node for now.
        ConnectionError
            If the control instance reports a protocol fault.
        MalformedFrame
            If the frame is malformed or of a type that control instances do
            not send.
        """
        frame = await self.stream.receive()
        await _FROM_CONTROL.handler_of(frame.body)(self, frame.body)

    def report(self, service: str) -> None:
        """Report the state of a service, if it differs from the last report."""
        report = self.store.applied(service)
        if self.control is None or self._last_reports.get(service) == report:
            return
        self._last_reports[service] = report
        self.stream.enqueue(report)

    def may_accept(self, service: str) -> bool:
        """Return whether a first configuration may be accepted now."""
        all_answered = not self.first_configs.unanswered_controls(service)
        return all_answered or (self.is_confirmed and self.control is not None)

    def request_full_copy(self, service: str) -> None:
        """Request a full copy of a service."""
        self.stream.enqueue(Subscribe(services=[service]))


@_FROM_CONTROL.handles(Welcome)
async def _handle_welcome(session: LinkSession, welcome: Welcome) -> None:
    session.control = welcome.control
    session.is_confirmed = welcome.confirmed
    if welcome.confirmed:
        await session.first_configs.accept_confirmed()
    # The answer has no services that were added after `Hello`.
    await session.first_configs.record_answer(
        session.address,
        session.hello.services,
    )
    for service in session.store.services:
        session.report(service)


@_FROM_CONTROL.handles(ConfigUpdate)
async def _handle_config(session: LinkSession, update: ConfigUpdate) -> None:
    accept = session.may_accept(update.service)
    if not await session.store.apply_config(update, accept):
        session.request_full_copy(update.service)
    session.report(update.service)


@_FROM_CONTROL.handles(TargetUpdate)
async def _handle_targets(session: LinkSession, update: TargetUpdate) -> None:
    if not await session.store.apply_targets(update):
        session.request_full_copy(update.service)
    session.report(update.service)


@_FROM_CONTROL.handles(CutOff)
async def _handle_cut_off(session: LinkSession, cut_off: CutOff) -> None:
    await session.store.cut_off(cut_off)


@_FROM_CONTROL.handles(Heartbeat)
async def _handle_heartbeat(session: LinkSession, heartbeat: Heartbeat) -> None:
    """Do nothing: any frame restarts the silence timeout."""


@_FROM_CONTROL.handles(Busy)
async def _handle_busy(session: LinkSession, busy: Busy) -> None:
    raise ControlBusyError(busy.retry_after_ms / MS_PER_S)


@_FROM_CONTROL.handles(ProtocolFault)
async def _handle_fault(session: LinkSession, fault: ProtocolFault) -> None:
    reason = f'{fault.kind}: {fault.detail}'
    raise ConnectionAbortedError(shorten(reason, MAX_ERROR_CHARS))
