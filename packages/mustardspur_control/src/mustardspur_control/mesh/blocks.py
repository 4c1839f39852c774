"""Blocked calls, as a control instance shows them to operators."""

import logging
from functools import partial
from typing import Final

from expression import Error, Ok, Result
from mustardspur_core.mesh.entries import LiftBlock

from mustardspur_control.mesh.crash_register import BlockOfCall, CrashRegister
from mustardspur_control.mesh.log_access import LogAccess, OperationError
from mustardspur_control.mesh.store import ACCEPTED, MeshStore

_LOG: Final = logging.getLogger(__name__)

UNKNOWN: Final = 'unknown'


class BlockOperations:
    """Reads of the blocks of calls, and orders to lift one.

    Parameters
    ----------
    access : LogAccess
        Commits the orders.
    store : MeshStore
        The applied state, with the blocks that were lifted.
    crashes : CrashRegister
        Register of this instance.
    """

    __slots__ = ('_access', '_crashes', '_store')

    def __init__(
        self,
        access: LogAccess,
        store: MeshStore,
        crashes: CrashRegister,
    ) -> None:
        """Initialise the operations on a log and a register."""
        self._access = access
        self._store = store
        self._crashes = crashes

    def read(self) -> list[BlockOfCall]:
        """Return the blocks that this instance knows, also without a quorum."""
        return self._crashes.blocks

    async def lift(self, fingerprint: bytes) -> Result[str, OperationError]:
        """End the block of a call everywhere.

        An order for a call whose block was lifted is accepted again.

        Returns
        -------
        Result
            ``accepted``, ``unknown`` for a call that is not blocked, or an
            error if this instance cannot determine the outcome.
        """
        # The leader answers first: another instance may not know the lifts.
        refusal = self._access.refusal()
        if refusal is not None:
            return Error(refusal)
        if fingerprint not in self._crashes.blocked_until_s:
            is_lifted = fingerprint.hex() in self._store.state.lifted
            return Ok(ACCEPTED if is_lifted else UNKNOWN)
        answer = await self._access.propose(LiftBlock(fingerprint=fingerprint))
        outcome = 'unanswered' if answer.is_error() else answer.ok.status
        _LOG.info(
            'lift of a block ordered',
            extra={'fingerprint': fingerprint.hex(), 'outcome': outcome},
        )
        return Error(answer.error) if answer.is_error() else Ok(outcome)


def follow_lifts(store: MeshStore, crashes: CrashRegister) -> None:
    """Apply the lifts of the state to a register, now and at each change."""
    apply_lifts = partial(_apply_lifts, store, crashes)
    # The log may have been read from the disk before.
    apply_lifts()
    store.on_change(apply_lifts)


def _apply_lifts(store: MeshStore, crashes: CrashRegister) -> None:
    crashes.apply_lifts(store.state.lifted)
