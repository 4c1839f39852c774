"""Judges of new versions that the benchmark compares.

The leader of a mesh compares sums over a transfer. The leader of services with
profiles tests time slots one after the other. The means of targets are
a candidate that neither of them uses.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from mustardspur_control.mesh.transfers import TransferDriver

from benchmarks.transfers.sequential_judge import SequentialDriver
from benchmarks.transfers.target_means_judge import TargetMeansDriver

_DriverType = type[TransferDriver]
JUDGES: Final[Mapping[str, _DriverType]] = MappingProxyType(
    {
        'sums': TransferDriver,
        'sequential': SequentialDriver,
        'target-means': TargetMeansDriver,
    },
)
