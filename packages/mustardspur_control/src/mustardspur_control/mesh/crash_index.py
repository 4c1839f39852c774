"""Index of the remembered crashes by call."""

from mustardspur_core.mesh.control_messages import MeshCrash

# Node, incarnation of the node and number of the crash.
CrashKey = tuple[str, int, int]


def crash_key(crash: MeshCrash) -> CrashKey:
    """Return what identifies a crash."""
    return crash.node, crash.incarnation, crash.number


class CrashIndex:
    """Keys of the crashes that count for each call.

    A call without a crash has no entry, so the size is bounded by the suspects
    of the remembered crashes.
    """

    __slots__ = ('_keys_by_call',)

    def __init__(self) -> None:
        """Initialise without crashes."""
        # Keys by fingerprint, oldest first.
        self._keys_by_call: dict[bytes, dict[CrashKey, None]] = {}

    def __len__(self) -> int:
        """Return the number of calls with crashes."""
        return len(self._keys_by_call)

    def keys_of(self, fingerprint: bytes) -> list[CrashKey]:
        """Return the crashes of a call, oldest first."""
        return list(self._keys_by_call.get(fingerprint, ()))

    def add(self, fingerprint: bytes, key: CrashKey) -> None:
        """Count a crash for a call."""
        self._keys_by_call.setdefault(fingerprint, {})[key] = None

    def remove(self, fingerprint: bytes, key: CrashKey) -> None:
        """Remove a crash from those of a call, if it is one of them."""
        keys = self._keys_by_call.get(fingerprint, {})
        keys.pop(key, None)
        if not keys:
            self._keys_by_call.pop(fingerprint, None)
