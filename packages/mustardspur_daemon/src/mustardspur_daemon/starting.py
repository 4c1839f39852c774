"""Running a process and reporting why it could not start."""

import errno
import importlib
import logging
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType
from typing import Final

from mustardspur_core.data_folder import hold_data_folder
from mustardspur_core.descriptors import apply_descriptor_limit
from mustardspur_core.listening import hold_addresses, listened_addresses
from mustardspur_core.settings import Settings
from mustardspur_core.start_wait import StartWait, start_wait_s

from mustardspur_daemon.exit_codes import ExitCode

_LOG: Final = logging.getLogger(__name__)

_FORMATION: Final = 'mustardspur_control.mesh.formation'
_OFFLOAD: Final = 'mustardspur_agreement.offload'
_NO_PERMISSION: Final = 'no permission, check data_dir and timeline'
_NO_FOLDER: Final = 'not a usable folder, check data_dir and timeline'
_NO_ROOM: Final = 'the disk is full'
_REASONS_BY_NUMBER: Final = MappingProxyType(
    {
        errno.EADDRINUSE: 'address taken by another process',
        errno.EADDRNOTAVAIL: 'address is not on this instance',
        errno.EWOULDBLOCK: 'data folder in use by another process',
        errno.EACCES: _NO_PERMISSION,
        errno.EROFS: _NO_PERMISSION,
        errno.EPERM: _NO_PERMISSION,
        errno.ENOTDIR: _NO_FOLDER,
        errno.EEXIST: _NO_FOLDER,
        errno.ENOENT: _NO_FOLDER,
        errno.ENOSPC: _NO_ROOM,
        errno.EDQUOT: _NO_ROOM,
    }
)


def obtain_needs(settings: Settings) -> None:
    """Obtain what a process needs before it takes part in anything.

    Explanation
    ===========

    A process that cannot listen neither votes nor announces itself, since it
    does nothing else until all its addresses are held. The files of a control
    instance come first: if its first start ends while it waits for an address,
    the next one still knows the first voters.

    Raises
    ------
    OSError
        If something is still missing after the longest wait.
    """
    if settings.mesh is not None:
        apply_descriptor_limit(settings.mesh)
    wait = StartWait(start_wait_s(settings))
    if settings.role == 'control' and settings.data_dir is not None:
        hold_data_folder(Path(settings.data_dir), wait)
        importlib.import_module(_OFFLOAD).hold_thread(wait)
    if settings.role == 'control' and settings.mesh is not None:
        # A node imports none of the code of control instances.
        formation = importlib.import_module(_FORMATION)
        formation.obtain_files(settings, settings.mesh, wait)
    hold_addresses(listened_addresses(settings), wait)


def run_reported(settings: Settings, command: Callable[[], int]) -> int:
    """Run a command; log the error that ends it as one structured line.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    command : callable
        Runs the process until a stop signal and returns its exit code.

    Returns
    -------
    int
        One of `ExitCode`.
    """
    try:
        return command()
    except OSError as error:
        _LOG.error(
            'cannot start',
            extra={
                'reason': describe_os_error(error),
                'settings_id': settings.id,
            },
        )
        return ExitCode.CANNOT_START
    except Exception:
        _LOG.exception(
            'ended by an unexpected error',
            extra={'settings_id': settings.id},
        )
        return ExitCode.UNEXPECTED_ERROR


def describe_os_error(error: OSError) -> str:
    """Return a description of an operating system error for an operator.

    Parameters
    ----------
    error : OSError
        The error that ended the process.
    """
    reason = _REASONS_BY_NUMBER.get(error.errno or 0)
    return f'{reason}: {error}' if reason else str(error)
