"""Files with what a node holds, one a service."""

from pathlib import Path
from typing import Any, Final

import msgpack
import xxhash
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.files import replace_synced
from mustardspur_core.readers import DecodeError
from mustardspur_core.record import Record
from mustardspur_core.settings import Settings
from mustardspur_core.state import ServiceConfig, Target

FOLDER: Final = 'held'
_DIGEST_BYTES: Final = 8


class HeldState(Record):
    """Content of a file.

    Parameters
    ----------
    in_force : ServiceConfig or None
        Configuration in force.
    newest : ServiceConfig
        Newest accepted configuration.
    targets : list of Target
        Targets known when the file was written.
    revision : str
        Their revision.
    cut_offs : list of str
        Moves that were cut off.
    """

    __slots__ = ('in_force', 'newest', 'targets', 'revision', 'cut_offs')
    in_force: ServiceConfig | None
    newest: ServiceConfig
    targets: list[Target]
    revision: str
    cut_offs: list[str]


class HeldFiles:
    """Reads and writes the files below the data folder.

    Parameters
    ----------
    settings : Settings
        Settings of the node; without ``data_dir`` nothing is kept.
    """

    __slots__ = ('_folder',)

    def __init__(self, settings: Settings) -> None:
        """Create the folder."""
        self._folder: Path | None = None
        if settings.data_dir is not None:
            self._folder = Path(settings.data_dir) / FOLDER
            self._folder.mkdir(parents=True, exist_ok=True)

    @property
    def are_kept(self) -> bool:
        """Whether the node has a disk."""
        return self._folder is not None

    def load(self) -> dict[str, HeldState]:
        """Return the valid files' content by service.

        Explanation
        ===========

        A damaged file counts as missing: the service then takes its first
        configuration by the rule for nodes without a disk.
        """
        if self._folder is None:
            return {}
        states = map(_read, self._folder.glob('*.held'))
        return {
            state.newest.service: state for state in states if state is not None
        }

    def save(self, state: HeldState) -> None:
        """Replace a service's file and return once it is synced."""
        if self._folder is None:
            return
        row = msgpack.packb(encode_array(state), use_bin_type=True)
        service = state.newest.service
        path = self._folder / f'{service}.held'
        replace_synced(path, xxhash.xxh64_digest(row) + row)


def _read(path: Path) -> HeldState | None:
    encoded = path.read_bytes()
    row = encoded[_DIGEST_BYTES:]
    if xxhash.xxh64_digest(row) != encoded[:_DIGEST_BYTES]:
        return None
    try:
        return decode_array(HeldState, _unpack(row))
    except DecodeError:
        return None


def _unpack(row: bytes) -> Any:
    try:
        return msgpack.unpackb(row, raw=False)
    # msgpack raises several unrelated exception types on damaged input.
    except (ValueError, TypeError, RecursionError):
        return None
