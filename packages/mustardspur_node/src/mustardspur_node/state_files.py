"""Files with the stored state of a node, one per service."""

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


class StoredState(Record):
    """Content of the file of a service.

    Parameters
    ----------
    in_force : ServiceConfig or None
        Configuration in force.
    newest : ServiceConfig
        Newest accepted configuration.
    targets : list of Target
        Targets at the time of writing.
    revision : str
        Revision of the targets.
    cut_offs : list of str
        Identifiers of moves that are cut off.
    """

    __slots__ = ('in_force', 'newest', 'targets', 'revision', 'cut_offs')
    in_force: ServiceConfig | None
    newest: ServiceConfig
    targets: list[Target]
    revision: str
    cut_offs: list[str]


class StateFiles:
    """Reads and writes the files in the data folder.

    Parameters
    ----------
    settings : Settings
        Settings of the node; without ``data_dir`` nothing is stored.
    """

    __slots__ = ('_folder',)

    def __init__(self, settings: Settings) -> None:
        """Create the folder if there is a data folder."""
        self._folder: Path | None = None
        if settings.data_dir is not None:
            self._folder = Path(settings.data_dir) / FOLDER
            self._folder.mkdir(parents=True, exist_ok=True)

    @property
    def has_folder(self) -> bool:
        """Whether the state is stored on disk."""
        return self._folder is not None

    def load(self) -> dict[str, StoredState]:
        """Return the content of the valid files by service.

        Explanation
        ===========

        A damaged file is ignored: the service then accepts its first
        configuration in the same way as on a node without a disk.
        """
        if self._folder is None:
            return {}
        states = map(_read, self._folder.glob('*.held'))
        return {
            state.newest.service: state for state in states if state is not None
        }

    def save(self, stored: StoredState) -> None:
        """Replace the file of a service and return once it is synced."""
        if self._folder is None:
            return
        row = msgpack.packb(encode_array(stored), use_bin_type=True)
        service = stored.newest.service
        path = self._folder / f'{service}.held'
        replace_synced(path, xxhash.xxh64_digest(row) + row)


def _read(path: Path) -> StoredState | None:
    encoded = path.read_bytes()
    row = encoded[_DIGEST_BYTES:]
    if xxhash.xxh64_digest(row) != encoded[:_DIGEST_BYTES]:
        return None
    try:
        return decode_array(StoredState, _unpack(row))
    except DecodeError:
        return None


def _unpack(row: bytes) -> Any:
    try:
        return msgpack.unpackb(row, raw=False)
    # msgpack raises several unrelated exception types on damaged input.
    except (ValueError, TypeError, RecursionError):
        return None
