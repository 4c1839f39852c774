"""A disk in memory that can fill up, lose power and lose unsynced writes."""

from random import Random


class PowerLossError(Exception):
    """An operation after a power loss."""


class _StoredFile:
    """Contents of a file and the part that is durable."""

    def __init__(self) -> None:
        self.content = b''
        self.synced = b''


class FakeDisk:
    """Implements `Disk`; contents and names are durable once synced."""

    def __init__(self) -> None:
        """Initialise an empty disk without faults."""
        self.files: dict[str, _StoredFile] = {}
        self._synced_files: dict[str, _StoredFile] = {}
        self.full = False
        # Whether a full disk also refuses to overwrite and to shorten files.
        self.refuses_changes = False
        # Whether contents and names are changed, but cannot be made durable.
        self.refuses_syncs = False
        # Name of a file that is not removed.
        self.refused_name = ''
        self.operations_left: int | None = None

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self.files)

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, None if there is none."""
        return self.files[name].content if name in self.files else None

    def write(self, name: str, offset: int, content: bytes) -> None:
        """Write; on a full disk write only a part and fail."""
        self._count_operation()
        stored = self.files.setdefault(name, _StoredFile())
        if self.full and self.refuses_changes:
            stored.content += content[: len(content) // 2]
            raise OSError('no space left on device')
        writable_bytes = len(content)
        if self.full:
            writable_bytes = max(
                len(stored.content) - offset, len(content) // 2
            )
        written = content[:writable_bytes]
        end = offset + len(written)
        start = stored.content[:offset].ljust(offset, b'\0')
        stored.content = start + written + stored.content[end:]
        if len(written) < len(content):
            raise OSError('no space left on device')

    def cut(self, name: str, length: int) -> None:
        """Shorten a file."""
        self._count_operation()
        if name not in self.files:
            raise FileNotFoundError(name)
        if self.full and self.refuses_changes:
            raise OSError('no space left on device')
        self.files[name].content = self.files[name].content[:length]

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        self._count_operation()
        self._check_sync()
        self.files[name].synced = self.files[name].content

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing an existing one."""
        self._count_operation()
        self.files[new_name] = self.files.pop(name)

    def remove(self, name: str) -> None:
        """Remove a file, if there is one."""
        self._count_operation()
        if name == self.refused_name:
            raise OSError('input/output error')
        self.files.pop(name, None)

    def sync_folder(self) -> None:
        """Make the names durable."""
        self._count_operation()
        self._check_sync()
        self._synced_files = dict(self.files)

    def lose_power(self, random: Random) -> None:
        """Retain synced data and a random part of unsynced data.

        Each change of a name that was not synced is retained or lost by
        itself.
        """
        self.operations_left = None
        names = sorted(self.files.keys() | self._synced_files.keys())
        retained = {
            name: random.choice([self.files, self._synced_files]).get(name)
            for name in names
        }
        self.files = {
            name: stored
            for name, stored in retained.items()
            if stored is not None
        }
        self._synced_files = dict(self.files)
        for stored in self.files.values():
            stored.content = _after_power_loss(stored, random)
            stored.synced = stored.content

    def flip_bit(self, name: str, offset: int) -> None:
        """Flip one bit of a byte."""
        content = bytearray(self.files[name].content)
        content[offset] ^= 0x10
        self.files[name].content = bytes(content)

    def _check_sync(self) -> None:
        if self.refuses_syncs:
            raise OSError('input/output error')

    def _count_operation(self) -> None:
        if self.operations_left is not None:
            if self.operations_left <= 0:
                raise PowerLossError
            self.operations_left -= 1


def _after_power_loss(stored: _StoredFile, random: Random) -> bytes:
    if not stored.content.startswith(stored.synced):
        return random.choice([stored.content, stored.synced])
    unsynced = stored.content[len(stored.synced) :]
    retained = unsynced[: random.randint(0, len(unsynced))]
    zeros = random.choice([0, len(unsynced) - len(retained)])
    return stored.synced + retained + bytes(zeros)
