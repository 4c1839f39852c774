"""The replicated log in the data folder and over TCP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Final

from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.tasks import background
from mustardspur_core.timeline import Timeline

from mustardspur_agreement.context import Context
from mustardspur_agreement.dialing import dial_peer
from mustardspur_agreement.disk import FolderDisk
from mustardspur_agreement.log import ReplicatedLog
from mustardspur_agreement.offload import offloading
from mustardspur_agreement.ports import Environment, StateMachine

SNAPSHOT_ENTRIES: Final = 4096
_FOLDER_NAME: Final = 'agreement'


def log_disk(settings: Settings) -> FolderDisk:
    """Return the folder with the files of the log.

    Raises
    ------
    ValueError
        If the settings have no data folder.
    """
    if settings.data_dir is None:
        raise ValueError('a control instance needs the setting data_dir')
    return FolderDisk(Path(settings.data_dir) / _FOLDER_NAME)


@asynccontextmanager
async def running_log(
    settings: Settings,
    machine: StateMachine,
    timeline: Timeline,
    metrics: Metrics,
    *,
    remembers_first_start: bool = False,
) -> AsyncIterator[ReplicatedLog]:
    """Open the log in the data folder and run it during the block.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    machine : StateMachine
        Applies the committed entries.
    timeline : Timeline
        Records the events.
    metrics : Metrics
        Counts the events.
    remembers_first_start : bool
        Whether the data folder states that it was there at the first start.

    Raises
    ------
    OSError
        If no thread for file operations can be started.
    ValueError
        If the settings have no data folder.
    """
    with offloading() as offload:
        environment = Environment(
            dial=dial_peer,
            disk=log_disk(settings),
            offload=offload,
            random=Random(),
            snapshot_entries=SNAPSHOT_ENTRIES,
            remembers_first_start=remembers_first_start,
        )
        log = ReplicatedLog(
            Context(
                settings=settings,
                machine=machine,
                timeline=timeline,
                metrics=metrics,
                environment=environment,
            )
        )
        async with background(log.run()):
            yield log
