"""Calls that crash targets, over all nodes and attempts."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.control_messages import (
    BlockedCall,
    MeshBlocks,
    MeshCrash,
)
from mustardspur_core.record import replaced

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

# Node, incarnation of the node and number of the crash.
CrashKey = tuple[str, int, int]


class CrashRegister:
    """Counts the crashes of each call and blocks those that cause them.

    Explanation
    ===========

    Each control instance has a register. It receives the crashes that its
    nodes observe, and those that the other instances know; a crash that is
    reported again counts once. A call is blocked once targets have crashed
    `CRASHES_TO_BLOCK` times while they ran it, for a short time only while
    another call was at all of these crashes.
    """

    __slots__ = (
        '_at_s',
        '_blocked_until_s',
        '_callbacks',
        '_crashes',
        '_keys_by_call',
    )

    def __init__(self) -> None:
        """Initialise without crashes."""
        self._callbacks: list[Callable[[], None]] = []
        self._crashes: dict[CrashKey, MeshCrash] = {}
        # Time of each crash on the clock of this instance.
        self._at_s: dict[CrashKey, float] = {}
        # Remembered crashes of each call by fingerprint, oldest first.
        self._keys_by_call: dict[bytes, dict[CrashKey, None]] = {}
        self._blocked_until_s: dict[bytes, float] = {}

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for new crashes."""
        self._callbacks.append(callback)

    def record(self, crash: MeshCrash) -> None:
        """Count a crash unless it is known or too old."""
        key = crash_key(crash)
        if key in self._crashes or crash.age_s >= RETENTION_S:
            return
        self._crashes[key] = crash
        self._at_s[key] = _now() - crash.age_s
        for fingerprint in crash.fingerprints:
            self._keys_by_call.setdefault(fingerprint, {})[key] = None
        self._remove_expired()
        for fingerprint in crash.fingerprints:
            self._block_if_repeated(fingerprint)
        for callback in self._callbacks:
            callback()

    def crashes_except(self, known: set[CrashKey]) -> list[MeshCrash]:
        """Return the crashes whose keys are not among the known ones."""
        self._remove_expired()
        return [
            replaced(crash, age_s=_now() - self._at_s[key])
            for key, crash in self._crashes.items()
            if key not in known
        ]

    @property
    def known_calls(self) -> int:
        """Number of the calls that were at the remembered crashes."""
        return len(self._keys_by_call)

    @property
    def blocked_until_s(self) -> dict[bytes, float]:
        """End of each block by fingerprint, on this instance's clock."""
        self._remove_expired()
        return dict(self._blocked_until_s)

    def blocks_except(self, known: dict[bytes, float]) -> MeshBlocks | None:
        """Return the blocks that differ from the known ones, None if none.

        Parameters
        ----------
        known : dict of float
            An earlier value of `blocked_until_s`.
        """
        now_s = _now()
        blocked = [
            BlockedCall(fingerprint=fingerprint, left_s=until_s - now_s)
            for fingerprint, until_s in self.blocked_until_s.items()
            if known.get(fingerprint) != until_s
        ]
        return MeshBlocks(blocked=blocked) if blocked else None

    def _block_if_repeated(self, fingerprint: bytes) -> None:
        keys = self._keys_of(fingerprint)
        if len(keys) < CRASHES_TO_BLOCK:
            return
        last_s = max(self._at_s[key] for key in keys)
        # A call that was answered before the first crash of a target may be
        # named as a suspect, and then often has a part of the cause's crashes.
        is_ambiguous = any(
            self._keys_by_call[other].keys() >= set(keys)
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

    def _keys_of(self, fingerprint: bytes) -> list[CrashKey]:
        return list(self._keys_by_call.get(fingerprint, ()))

    def _remove_expired(self) -> None:
        oldest_s = _now() - RETENTION_S
        excess = max(len(self._crashes) - MAX_CRASHES, 0)
        expired = [
            key
            for number, (key, at_s) in enumerate(self._at_s.items())
            if at_s <= oldest_s or number < excess
        ]
        for key in expired:
            self._remove(key)
        self._blocked_until_s = {
            fingerprint: until_s
            for fingerprint, until_s in self._blocked_until_s.items()
            if until_s > _now()
        }

    def _remove(self, key: CrashKey) -> None:
        self._at_s.pop(key)
        # A crash may name a fingerprint twice.
        for fingerprint in set(self._crashes.pop(key).fingerprints):
            keys = self._keys_by_call[fingerprint]
            keys.pop(key)
            if not keys:
                self._keys_by_call.pop(fingerprint)


def crash_key(crash: MeshCrash) -> CrashKey:
    """Return what identifies a crash."""
    return crash.node, crash.incarnation, crash.number


def _now() -> float:
    return asyncio.get_running_loop().time()
