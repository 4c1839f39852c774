"""Calls that crash targets, over all nodes and attempts."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Final

from mustardspur_core.mesh.control_messages import (
    BlockedCall,
    MeshBlocks,
    MeshCrash,
)
from mustardspur_core.record import Record, replaced

from mustardspur_control.mesh.crash_index import (
    CrashIndex,
    CrashKey,
    crash_key,
)

_LOG: Final = logging.getLogger(__name__)

# Crashes after which a call is refused. Calls that were at the same target by
# chance are rarely at two more targets when these crash.
CRASHES_TO_BLOCK: Final = 3
# Time for which crashes are remembered, and a call is refused after its last
# one. A call that crashed targets for another reason gets another chance then.
RETENTION_S: Final = 600.0
# Time of a block while another call was at all of the call's crashes. One of
# them is the cause; a further crash tells it from the others.
AMBIGUOUS_BLOCK_S: Final = 30.0
# Crashes that are remembered; the oldest ones are dropped.
MAX_CRASHES: Final = 1024


class BlockOfCall(Record):
    """Block of a call, as it is shown to operators.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the call in hexadecimal digits.
    crashes : int
        Number of the remembered crashes of targets that ran it.
    nodes : list of str
        Stream addresses of the nodes beside these targets, sorted.
    left_s : float
        Seconds until the end of the block.
    """

    __slots__ = ('fingerprint', 'crashes', 'nodes', 'left_s')
    fingerprint: str
    crashes: int
    nodes: list[str]
    left_s: float


class CrashRegister:
    """Counts the crashes of each call and blocks those that cause them.

    Explanation
    ===========

    Each control instance has a register. It receives the crashes that its
    nodes observe, and those that the other instances know; a crash that is
    reported again counts once. A call is blocked once targets have crashed
    `CRASHES_TO_BLOCK` times while they ran it, for a short time only while
    another call was at all of these crashes.

    An operator can lift the block of a call. The replicated state has the log
    index of each lift, and each crash states the latest lift that its node
    knew, so that all instances agree on the crashes that count afterwards.
    Neither depends on a clock or on the order of reports.

    Attributes
    ----------
    index : CrashIndex
        The crashes that count for each call.
    """

    __slots__ = (
        '_at_s',
        '_blocked_until_s',
        '_callbacks',
        '_crashes',
        '_lifted',
        'index',
    )

    def __init__(self) -> None:
        """Initialise without crashes."""
        self._callbacks: list[Callable[[], None]] = []
        self._crashes: dict[CrashKey, MeshCrash] = {}
        # Time of each crash on the clock of this instance.
        self._at_s: dict[CrashKey, float] = {}
        self.index = CrashIndex()
        self._blocked_until_s: dict[bytes, float] = {}
        # Log index of the latest lift of each call's block.
        self._lifted: dict[bytes, int] = {}

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for new crashes and for lifts."""
        self._callbacks.append(callback)

    def record(self, crash: MeshCrash) -> None:
        """Count a crash unless it is known or too old."""
        key = crash_key(crash)
        if key in self._crashes or crash.age_s >= RETENTION_S:
            return
        self._crashes[key] = crash
        self._at_s[key] = _now() - crash.age_s
        for fingerprint in crash.fingerprints:
            if crash.lifted_index >= self._lifted.get(fingerprint, 0):
                self.index.add(fingerprint, key)
        self._remove_expired()
        for fingerprint in crash.fingerprints:
            self._block_if_repeated(fingerprint)
        self._notify()

    def apply_lifts(self, lifted: Mapping[str, int]) -> None:
        """End the blocks that were lifted, and void the crashes before.

        Parameters
        ----------
        lifted : mapping of int
            `MeshState.lifted`.
        """
        indexes = {
            bytes.fromhex(digits): index for digits, index in lifted.items()
        }
        changed = indexes.items() - self._lifted.items()
        self._lifted = indexes
        for fingerprint, index in changed:
            self._lift(fingerprint, index)
        if changed:
            self._notify()

    @property
    def lifted_index(self) -> int:
        """Log index of the latest lift, 0 for none."""
        return max(self._lifted.values(), default=0)

    @property
    def blocks(self) -> list[BlockOfCall]:
        """The blocks, in the order in which the calls were blocked."""
        return [
            BlockOfCall(
                fingerprint=fingerprint.hex(),
                crashes=len(self.index.keys_of(fingerprint)),
                nodes=sorted(
                    {key[0] for key in self.index.keys_of(fingerprint)}
                ),
                left_s=round(until_s - _now(), 1),
            )
            for fingerprint, until_s in self.blocked_until_s.items()
        ]

    def crashes_except(self, known: set[CrashKey]) -> list[MeshCrash]:
        """Return the crashes whose keys are not among the known ones."""
        self._remove_expired()
        return [
            replaced(crash, age_s=_now() - self._at_s[key])
            for key, crash in self._crashes.items()
            if key not in known
        ]

    @property
    def blocked_until_s(self) -> dict[bytes, float]:
        """End of each block by fingerprint, on this instance's clock."""
        self._remove_expired()
        return dict(self._blocked_until_s)

    def blocks_except(
        self,
        known: dict[bytes, float],
        known_lifted_index: int = 0,
    ) -> MeshBlocks | None:
        """Return the blocks that differ from the known ones, None if none.

        Parameters
        ----------
        known : dict of float
            An earlier value of `blocked_until_s`.
        known_lifted_index : int
            The value of `lifted_index` at that time. If it has changed, all
            blocks are returned, and those that were lifted later with no time
            left: a node that knew of the lifts has ignored earlier blocks,
            and another one may have blocks of an earlier stream.
        """
        now_s = _now()
        until_s_by_call = self.blocked_until_s
        if known_lifted_index != self.lifted_index:
            known = {}
        blocked = [
            BlockedCall(fingerprint=fingerprint, left_s=until_s - now_s)
            for fingerprint, until_s in until_s_by_call.items()
            if known.get(fingerprint) != until_s
        ]
        blocked += [
            BlockedCall(fingerprint=fingerprint, left_s=0)
            for fingerprint, index in self._lifted.items()
            if index > known_lifted_index and fingerprint not in until_s_by_call
        ]
        if not blocked:
            return None
        return MeshBlocks(blocked=blocked, lifted_index=self.lifted_index)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()

    def _lift(self, fingerprint: bytes, index: int) -> None:
        if self._blocked_until_s.pop(fingerprint, None) is not None:
            _LOG.info(
                'block lifted',
                extra={'fingerprint': fingerprint.hex(), 'index': index},
            )
        keys = self.index.keys_of(fingerprint)
        for key in keys:
            if self._crashes[key].lifted_index < index:
                self.index.remove(fingerprint, key)
        self._block_if_repeated(fingerprint)

    def _block_if_repeated(self, fingerprint: bytes) -> None:
        keys = self.index.keys_of(fingerprint)
        if len(keys) < CRASHES_TO_BLOCK:
            return
        last_s = max(self._at_s[key] for key in keys)
        # A call that was answered before the first crash of a target may be
        # named as a suspect, and then often has a part of the cause's crashes.
        is_ambiguous = any(
            set(keys).issubset(self.index.keys_of(other))
            for other in self._crashes[keys[-1]].fingerprints
            if other != fingerprint
        )
        length_s = AMBIGUOUS_BLOCK_S if is_ambiguous else RETENTION_S
        self._blocked_until_s[fingerprint] = last_s + length_s
        _LOG.warning(
            'call blocked',
            extra={
                'fingerprint': fingerprint.hex(),
                'crashes': len(keys),
                'ambiguous': is_ambiguous,
            },
        )

    def _remove_expired(self) -> None:
        oldest_s = _now() - RETENTION_S
        excess = max(len(self._crashes) - MAX_CRASHES, 0)
        expired = [
            key
            for number, (key, at_s) in enumerate(self._at_s.items())
            if at_s <= oldest_s or number < excess
        ]
        for key in expired:
            self._at_s.pop(key)
            for suspect in self._crashes.pop(key).fingerprints:
                self.index.remove(suspect, key)
        self._blocked_until_s = {
            fingerprint: until_s
            for fingerprint, until_s in self._blocked_until_s.items()
            if until_s > _now()
        }


def _now() -> float:
    return asyncio.get_running_loop().time()
