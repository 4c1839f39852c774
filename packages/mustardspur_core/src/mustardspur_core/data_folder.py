"""The data folder of a process."""

import errno
import fcntl
import logging
import os
from functools import partial
from pathlib import Path
from typing import Final

from mustardspur_core.files import make_folder_synced
from mustardspur_core.start_wait import StartWait

_LOG: Final = logging.getLogger(__name__)

# A folder that another process uses, or that is mounted, released or has room
# later. A file in its place stays until an operator removes it.
_TEMPORARY: Final = frozenset(
    (
        errno.EWOULDBLOCK,
        errno.EACCES,
        errno.EPERM,
        errno.EROFS,
        errno.EIO,
        errno.ENOSPC,
        errno.EDQUOT,
        errno.ENODEV,
        errno.ENOTCONN,
        errno.ESTALE,
        errno.ETIMEDOUT,
    )
)
# File systems without locks.
_UNLOCKABLE: Final = frozenset(
    (errno.EINVAL, errno.ENOLCK, errno.ENOSYS, errno.ENOTSUP),
)


def hold_data_folder(folder: Path, wait: StartWait) -> int:
    """Create the data folder where it is missing, and lock it.

    Explanation
    ===========

    The process before this one has closed its listeners by now, but may still
    be writing. The kernel releases the lock at the end of the process.

    Returns
    -------
    int
        Descriptor that holds the lock.

    Raises
    ------
    OSError
        If the folder cannot be used or locked.
    """
    return wait.obtain(
        f'data folder {folder}',
        partial(_lock, folder),
        _is_temporary,
    )


def _lock(folder: Path) -> int:
    make_folder_synced(folder)
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        if error.errno not in _UNLOCKABLE:
            os.close(descriptor)
            raise
        _LOG.warning('data folder not locked', extra={'reason': str(error)})
    return descriptor


def _is_temporary(error: OSError) -> bool:
    return error.errno in _TEMPORARY
