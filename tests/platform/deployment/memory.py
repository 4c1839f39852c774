"""The memory limit of processes, enforced from outside them."""

import asyncio
import os
import signal
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

# Resident memory beyond which the platform kills a process.
LIMITS_MIB: Final = MappingProxyType({'control': 296, 'node': 300})
_BYTES_PER_MIB: Final = 1 << 20
_POLL_S: Final = 0.05


class MemoryLimits:
    """Kills the processes of a play that use too much memory.

    Such an end is seen by the supervisor as one by itself. Bytes in the kernel
    are not counted.

    Parameters
    ----------
    play : DeploymentPlay
        The play, with its processes.

    Attributes
    ----------
    limits_mib : dict of int
        Limit by role.
    peaks_mib : dict of int
        Highest resident memory by role.
    """

    def __init__(self, play: Any) -> None:
        """Initialise with the limits of the platform."""
        self._play = play
        self.limits_mib = dict(LIMITS_MIB)
        self.peaks_mib = dict.fromkeys(LIMITS_MIB, 0)

    async def watch(self) -> None:
        """Watch all processes until cancelled."""
        while True:
            for host, process in self._play.mesh.processes.items():
                if process.returncode is None:
                    self._check(host, process.pid)
            await asyncio.sleep(_POLL_S)

    def _check(self, host: str, pid: int) -> None:
        role = 'node' if host in self._play.nodes else 'control'
        resident_mib = _resident_mib(pid)
        self.peaks_mib[role] = max(self.peaks_mib[role], resident_mib)
        if resident_mib > self.limits_mib[role]:
            self._play.note(f'{host} uses {resident_mib} MiB, killed')
            self._play.signal(host, signal.SIGKILL)


def _resident_mib(pid: int) -> int:
    try:
        pages = int(Path('/proc', str(pid), 'statm').read_text().split()[1])
    except FileNotFoundError:
        # The process has ended meanwhile.
        return 0
    return pages * os.sysconf('SC_PAGE_SIZE') // _BYTES_PER_MIB
