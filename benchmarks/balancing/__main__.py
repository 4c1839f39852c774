"""Measures the time of a choice: ``python -m benchmarks.balancing``."""

import asyncio
import random
import sys
import time
from typing import Final

from mustardspur_core.mesh import MeshTarget
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.record import replaced
from mustardspur_node.mesh.balancing import (
    BalancingPolicy,
    Knowledge,
    new_policy,
)
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import target
from tests.node.mesh.builders import mesh_call, node_settings
from tests.support.virtual_time import VirtualLoop

# Region by data centre; the node is in the first one.
PLACES: Final = (
    ('split-a', 'dalmacija'),
    ('zadar-a', 'dalmacija'),
    ('osijek-a', 'slavonija'),
    ('vukovar-a', 'slavonija'),
)
SIZES: Final = (40, 150, 1000)
POLICIES: Final = ('least_expected', 'first_free')
CHOICES: Final = 500
SLOTS: Final = 5


async def main() -> None:
    """Print the processor time of the first choice of a call."""
    for size in SIZES:
        for used in (3, SLOTS):
            for name in POLICIES:
                us = _choice_us(name, size, used)
                sys.stdout.write(
                    f'{size} targets, {used} of {SLOTS} slots in use, '
                    f'{name}: {us:.0f} us\n'
                )


def _choice_us(name: str, size: int, used: int) -> float:
    """Return the mean processor time of a choice in microseconds."""
    source = random.Random(1)
    settings = replaced(
        node_settings(), data_centre=PLACES[0][0], region=PLACES[0][1]
    )
    chooser = TargetChooser(settings, source)
    targets = [_target(number) for number in range(size)]
    for each in targets:
        chooser.state_of(each.node).group = (each.service, each.data_centre)
        chooser.record_load(each.node, _load(used))
    policy = new_policy(
        name,
        Knowledge(view=MeshView(), chooser=chooser, random_source=source),
    )
    return _mean_us(policy, targets)


def _mean_us(policy: BalancingPolicy, targets: list[MeshTarget]) -> float:
    progress = CallProgress(mesh_call(), 'forms')
    started_s = time.process_time()
    for _ in range(CHOICES):
        policy.next_offer(progress, targets)
    return (time.process_time() - started_s) / CHOICES * 1e6


def _target(number: int) -> MeshTarget:
    place, region = PLACES[number % len(PLACES)]
    return target(
        str(1000 + number), data_centre=place, region=region, slots=SLOTS
    )


def _load(used: int) -> TargetLoad:
    return TargetLoad(
        running=used,
        waiting=0,
        slots=SLOTS,
        run_ms=178.0,
        failure_rate=0,
        open=True,
        link_wait_ms=0,
    )


if __name__ == '__main__':
    # On a virtual clock the reports and the call do not age.
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())
