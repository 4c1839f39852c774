"""Error responses of the node itself."""

from enum import StrEnum
from http import HTTPStatus

from aiohttp import web

from mustardspur_node.calls import names


class Outcome(StrEnum):
    """Whether a call that the node could not complete may have run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class CallFault(Exception):
    """A call that ends with an error response of the node itself.

    Parameters
    ----------
    status : HTTPStatus
        Status of the response.
    outcome : Outcome
        ``not-run`` only if no target can have run the call.
    reason : str
        Reason for the caller, whose wording is part of the interface.
    """

    def __init__(
        self,
        status: HTTPStatus,
        outcome: Outcome,
        reason: str,
    ) -> None:
        """Initialise status, outcome and reason of the response."""
        super().__init__(reason)
        self.status = status
        self.outcome = outcome
        self.reason = reason

    def without_frames(self) -> 'CallFault':
        """Return the same fault without a traceback and a cause."""
        return CallFault(self.status, self.outcome, self.reason)


def not_run(status: HTTPStatus, reason: str) -> CallFault:
    """Return the fault of a call that certainly was not run."""
    return CallFault(status, Outcome.NOT_RUN, reason)


def unknown(status: HTTPStatus, reason: str) -> CallFault:
    """Return the fault of a call that a target may have run."""
    return CallFault(status, Outcome.UNKNOWN, reason)


def fault_response(fault: CallFault, node: str) -> web.Response:
    """Return the response for a fault.

    Parameters
    ----------
    fault : CallFault
        Fault of the call.
    node : str
        Identifier of the node, for the operators of the caller.
    """
    return web.json_response(
        {'outcome': fault.outcome, 'reason': fault.reason, 'node': node},
        status=fault.status,
        headers={names.OUTCOME: fault.outcome},
    )
