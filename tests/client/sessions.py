"""Sessions of the command line against a control instance with fakes."""

import io
import json
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

from aiohttp.test_utils import TestServer
from mustardspur_client.main import run
from mustardspur_control.local_log import LocalLog
from mustardspur_control.operators_api import (
    OperatorsContext,
    build_operators_app,
)
from mustardspur_control.store import Store
from mustardspur_core.edits import AnswerStatus, EditAnswer
from mustardspur_core.record import Record
from mustardspur_core.wire import encode_frame

from tests.control.operators_api.fakes import FakeSources, context_of

StartServer = Callable[..., Awaitable[TestServer]]


class Session:
    """Command lines with their output and exit codes, in order.

    Parameters
    ----------
    folder : Path
        Folder for profile files and the state of the client.
    address : str
        Address of the control instance.
    """

    __slots__ = ('address', 'context', 'folder', 'sources', 'transcript')

    def __init__(
        self,
        folder: Path,
        address: str,
        context: OperatorsContext,
        sources: FakeSources,
    ) -> None:
        """Initialise with an empty transcript."""
        self.folder = folder
        self.address = address
        self.context = context
        self.sources = sources
        self.transcript: list[str] = []

    async def run(self, verb: str, *arguments: str) -> int:
        """Run a verb, record its output and return the exit code."""
        stdout, stderr = io.StringIO(), io.StringIO()
        line = [verb, *arguments, *self._connection(verb)]
        code = await run(line, stdout, stderr)
        shown = ' '.join(('$ mustardspur', verb, *arguments))
        parts = (shown, stdout.getvalue(), stderr.getvalue(), f'exit {code}')
        text = '\n'.join(part.rstrip() for part in parts if part)
        self.transcript.append(
            text.replace(f'{self.folder}/', '').replace(self.address, 'IP:PORT')
        )
        return code

    def write(self, name: str, document: dict[str, Any]) -> str:
        """Write a profile file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(document), 'utf-8')
        return str(path)

    def commit_step(self, entry: Record) -> None:
        """Commit a step of a move, as the leader does."""
        assert isinstance(self.context.log, LocalLog)
        answer = self.context.log.commit(encode_frame(entry)).answer
        assert isinstance(answer, EditAnswer)
        assert answer.status == AnswerStatus.ACCEPTED

    def schedule_steps(self, *entries: Record) -> None:
        """Commit one step after each of the next reads of a move."""
        for entry in entries:
            self.sources.script.append(partial(self.commit_step, entry))

    def _connection(self, verb: str) -> list[str]:
        if verb in {'check', 'timeline'}:
            return []
        state = str(self.folder / 'state')
        return ['--control', self.address, '--state-dir', state]


async def start_session(start: StartServer, folder: Path) -> Session:
    """Return a session with a running control instance."""
    sources = FakeSources()
    context = context_of(Store(), sources)
    address = await start_control(start, context)
    return Session(folder, address, context, sources)


async def start_control(start: StartServer, context: OperatorsContext) -> str:
    """Start a server of the operators' interface and return its address."""
    server = await start(build_operators_app(context))
    return f'{server.host}:{server.port}'
