"""Registry of the verbs."""

from argparse import ArgumentParser
from collections.abc import Awaitable, Callable

from mustardspur_core.record import Record

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation

AddArguments = Callable[[ArgumentParser], None]
Run = Callable[[Invocation], Awaitable[ExitCode]]


class Verb(Record):
    """A verb of the command line.

    Parameters
    ----------
    summary : str
        One line of help for the list of verbs.
    needs_control : bool
        Whether the verb sends requests to control instances.
    """

    __slots__ = ('name', 'summary', 'needs_control', 'add_arguments', 'run')
    name: str
    summary: str
    needs_control: bool
    add_arguments: AddArguments
    run: Run


_verbs_by_name: dict[str, Verb] = {}


def no_arguments(parser: ArgumentParser) -> None:
    """Add no arguments besides the common ones."""


def verb(
    name: str,
    add_arguments: AddArguments = no_arguments,
    *,
    needs_control: bool = True,
) -> Callable[[Run], Run]:
    """Register a verb; the first line of its docstring is the help text.

    Parameters
    ----------
    name : str
        Name on the command line.
    add_arguments : callable
        Adds the verb's arguments to its parser.
    needs_control : bool
        Whether the verb sends requests to control instances.
    """

    def decorator(run: Run) -> Run:
        summary = (run.__doc__ or '').strip().splitlines()[0]
        _verbs_by_name[name] = Verb(
            name=name,
            summary=summary,
            needs_control=needs_control,
            add_arguments=add_arguments,
            run=run,
        )
        return run

    return decorator


def verbs() -> dict[str, Verb]:
    """Return the registered verbs by name."""
    return dict(_verbs_by_name)
