"""Processes of the benchmark that run commands."""

import asyncio
import multiprocessing
import resource
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection
from typing import Any

from mustardspur_core.event_loop import run_in_loop

CommandHandler = Callable[..., Awaitable[Any]]
_context = multiprocessing.get_context('spawn')


class Worker:
    """A process that runs commands.

    Parameters
    ----------
    make_handlers : callable
        Called in the process; returns the handlers by command.
    arguments : tuple
        Arguments of `make_handlers`.
    """

    def __init__(
        self,
        make_handlers: Callable[..., dict[str, CommandHandler]],
        *arguments: Any,
    ) -> None:
        """Start the process."""
        pipe_ends = _context.Pipe()
        self._connection = pipe_ends[0]
        self._process = _context.Process(
            target=_run,
            args=(pipe_ends[1], make_handlers, arguments),
            daemon=True,
        )
        self._process.start()

    def send(self, command: str, **arguments: Any) -> None:
        """Send a command without waiting for its result."""
        self._connection.send((command, arguments))

    def receive(self) -> Any:
        """Wait for the result of the oldest pending command."""
        return self._connection.recv()

    def call(self, command: str, **arguments: Any) -> Any:
        """Run a command and return its result."""
        self.send(command, **arguments)
        return self.receive()

    def kill(self) -> None:
        """Kill the process, as in the loss of an instance."""
        self._process.kill()
        self._process.join()


def call_all(
    workers: list[Worker],
    command: str,
    **arguments: Any,
) -> list[Any]:
    """Run a command on all workers concurrently; return the results."""
    for worker in workers:
        worker.send(command, **arguments)
    return [busy_worker.receive() for busy_worker in workers]


def peak_memory_mib() -> float:
    """Return the peak resident memory of this process in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def processor_s() -> float:
    """Return the processor time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _run(
    commands: Connection,
    make_handlers: Callable[..., dict[str, CommandHandler]],
    arguments: tuple[Any, ...],
) -> None:
    run_in_loop(_serve(commands, make_handlers(*arguments)))


async def _serve(
    commands: Connection, handlers: dict[str, CommandHandler]
) -> None:
    while True:
        command, arguments = await asyncio.to_thread(commands.recv)
        commands.send(await handlers[command](**arguments))
