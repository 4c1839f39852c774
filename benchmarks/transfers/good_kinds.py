"""Kinds of good versions."""

import random

from benchmarks.transfers.faults import Fault, Healthy, SlowTarget
from benchmarks.transfers.kinds import fault_kind


@fault_kind('none', 1, is_bad=False)
def _healthy(draws: random.Random, size: float) -> Fault:
    return Healthy()


@fault_kind('none, one slow target', 1, is_bad=False)
def _slow_target(draws: random.Random, size: float) -> Fault:
    return SlowTarget()
