"""Tests of control instances on machines that allow no further thread."""

import asyncio
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import pytest
from mustardspur_agreement import running_log
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.settings import parse_settings
from mustardspur_daemon.starting import obtain_needs

from tests.agreement.cluster import History, ListMachine
from tests.daemon.processes import HANG_LIMIT_S, POLL_S, control_document

_START: Final = '_start_new_thread'
_REFUSED: Final = 3


class _Threads:
    """Refuses to start the first threads.

    Parameters
    ----------
    start : callable
        Starts a thread.
    refused : int
        How many are refused.
    """

    def __init__(self, start: Callable[..., Any], refused: int) -> None:
        """Initialise without threads."""
        self._start = start
        self._refused = refused

    def start(self, *details: Any) -> Any:
        """Start a thread, or refuse it as the machine does."""
        if self._refused:
            self._refused -= 1
            raise RuntimeError("can't start new thread")
        return self._start(*details)


def _refuse_threads(monkeypatch: pytest.MonkeyPatch, refused: int) -> None:
    threads = _Threads(getattr(threading, _START), refused)
    monkeypatch.setattr(threading, _START, threads.start)


async def test_log_writes_without_a_further_thread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a control instance that ends with its first write, as the
    machine allows no further thread.
    """
    settings = parse_settings(control_document(tmp_path), 'settings').ok
    obtain_needs(settings)
    _refuse_threads(monkeypatch, sys.maxsize)
    async with asyncio.timeout(HANG_LIMIT_S), _log(settings) as log:
        while (await log.propose(b'entry')).is_error():
            await asyncio.sleep(POLL_S)


def test_start_waits_for_its_thread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a control instance that ends at its start, as the machine
    allows no further thread for a moment.
    """
    settings = parse_settings(control_document(tmp_path), 'settings').ok
    _refuse_threads(monkeypatch, _REFUSED)
    obtain_needs(settings)
    asyncio.run(_run_log(settings))


async def _run_log(settings: Any) -> None:
    async with _log(settings):
        await asyncio.sleep(0)


def _log(settings: Any) -> Any:
    return running_log(
        settings, ListMachine(History()), History(), NullMetrics()
    )
