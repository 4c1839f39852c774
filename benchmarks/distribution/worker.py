"""Processes of the benchmark, and the commands to them."""

import asyncio
import multiprocessing
import resource
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection
from typing import Any

from mustardspur_core.event_loop import run_in_loop

Handle = Callable[..., Awaitable[Any]]
_context = multiprocessing.get_context('spawn')


class Worker:
    """A process that takes commands.

    Parameters
    ----------
    make_handles : callable
        Returns the functions by command; called in the process.
    arguments : tuple
        Arguments of that call.
    """

    def __init__(
        self,
        make_handles: Callable[..., dict[str, Handle]],
        *arguments: Any,
    ) -> None:
        """Start the process."""
        ends = _context.Pipe()
        self._near = ends[0]
        self._process = _context.Process(
            target=_run,
            args=(ends[1], make_handles, arguments),
            daemon=True,
        )
        self._process.start()

    def send(self, command: str, **arguments: Any) -> None:
        """Start a command."""
        self._near.send((command, arguments))

    def receive(self) -> Any:
        """Wait for the outcome of a command."""
        return self._near.recv()

    def call(self, command: str, **arguments: Any) -> Any:
        """Run a command and wait for its outcome."""
        self.send(command, **arguments)
        return self.receive()

    def kill(self) -> None:
        """End the process at once, as a lost instance ends."""
        self._process.kill()
        self._process.join()


def call_all(
    workers: list[Worker],
    command: str,
    **arguments: Any,
) -> list[Any]:
    """Run a command on all workers at the same time."""
    for worker in workers:
        worker.send(command, **arguments)
    return [waiting.receive() for waiting in workers]


def peak_memory_mib() -> float:
    """Return the peak resident memory of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def processor_s() -> float:
    """Return the processor time of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _run(
    commands: Connection,
    make_handles: Callable[..., dict[str, Handle]],
    arguments: tuple[Any, ...],
) -> None:
    run_in_loop(_serve(commands, make_handles(*arguments)))


async def _serve(commands: Connection, handles: dict[str, Handle]) -> None:
    while True:
        command, arguments = await asyncio.to_thread(commands.recv)
        commands.send(await handles[command](**arguments))
