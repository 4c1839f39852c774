"""The command that makes a control instance the only voter."""

import socket
import sys
from pathlib import Path

from mustardspur_agreement import log_disk, recover_alone
from mustardspur_core.data_folder import hold_data_folder
from mustardspur_core.settings import Settings
from mustardspur_core.start_wait import StartWait

from mustardspur_daemon.exit_codes import ExitCode


def recover(settings: Settings) -> int:
    """Make a stopped control instance the only voter of its log.

    Parameters
    ----------
    settings : Settings
        Settings of the control instance.

    Returns
    -------
    int
        One of `ExitCode`.

    Raises
    ------
    OSError
        If the control instance is running, or its files cannot be used.
    """
    if settings.role != 'control':
        sys.stderr.write(
            f'{settings.id}: expected role control, found {settings.role}\n',
        )
        return ExitCode.BAD_SETTINGS
    _check_stopped(settings)
    if settings.data_dir is not None:
        # An instance that stops frees its address before its last writes.
        hold_data_folder(Path(settings.data_dir), StartWait(0))
    recovered = recover_alone(settings, log_disk(settings))
    if recovered.is_error():
        sys.stderr.write(f'{settings.id}: {recovered.error}\n')
        return ExitCode.CANNOT_START
    index = recovered.ok.index
    uncommitted = recovered.ok.uncommitted
    sys.stdout.write(
        f'{settings.id} is the only voter from index {index}; {uncommitted} '
        'entries that were not known to be committed are in force\n',
    )
    return ExitCode.STOPPED


def _check_stopped(settings: Settings) -> None:
    host, _, port = settings.listen.http.rpartition(':')
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, int(port)))
