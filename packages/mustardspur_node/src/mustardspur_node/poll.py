"""Polling of other control instances for a first configuration."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from mustardspur_core.messages import Hello
from mustardspur_core.settings import Settings
from mustardspur_core.wire import MalformedFrame

from mustardspur_node.config_store import ConfigStore
from mustardspur_node.first_config_acceptance import FirstConfigAcceptance
from mustardspur_node.link_session import Connect, LinkSession

CONNECT_TIMEOUT_S: Final = 1.0
POLL_INTERVAL_S: Final = 2.0


async def poll_periodically(
    settings: Settings,
    store: ConfigStore,
    first_configs: FirstConfigAcceptance,
    connect: Connect,
    current: Callable[[], LinkSession | None],
) -> None:
    """Poll the other instances while the current one is not confirmed.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    store : ConfigStore
        Receives the candidates.
    first_configs : FirstConfigAcceptance
        Records the answers.
    connect : callable
        Opens a stream to an address within a time.
    current : callable
        Returns the session with the current instance, if any.
    """
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        session = current()
        if session is None or session.is_confirmed:
            continue
        addresses: set[str] = set()
        for service in store.unconfirmed:
            addresses |= first_configs.unanswered_controls(service)
        await asyncio.gather(
            *(
                _poll(settings, store, first_configs, connect, address)
                for address in addresses - {session.address}
            ),
        )


async def _poll(
    settings: Settings,
    store: ConfigStore,
    first_configs: FirstConfigAcceptance,
    connect: Connect,
    address: str,
) -> None:
    hello = Hello(
        node=settings.id,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=0,
        services=store.unconfirmed,
        config_indexes={},
        target_revisions={},
    )
    # An instance that does not answer is polled again later.
    with suppress(OSError, EOFError, TimeoutError, MalformedFrame):
        async with connect(address, CONNECT_TIMEOUT_S) as stream:
            session = LinkSession(address, stream, hello, store, first_configs)
            stream.enqueue(hello)
            async with asyncio.timeout(settings.intervals.silence_s):
                await _until_welcome(session)


async def _until_welcome(session: LinkSession) -> None:
    while session.control is None:
        await session.receive()
