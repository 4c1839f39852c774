"""What each role needs at the design size, from the measured lines."""

from collections.abc import Callable
from typing import Final

from mustardspur_core.record import Record

from benchmarks.capacity.fitting import Slope

SERVERS: Final = 2800
SERVICES: Final = 190
DATA_CENTRES: Final = 18
REGIONS: Final = 6
CONTROL_INSTANCES: Final = 22
EDITS_PER_DAY: Final = 8500
RESTARTS_PER_DAY: Final = 159
SECONDS_PER_DAY: Final = 86_400
BYTES_PER_MIB: Final = 1024 * 1024

# Assumed: the busiest second has ten times the day's mean of edits, since
# operators work by day and edit in bursts.
PEAK_FACTOR: Final = 10
# Assumed: a node needs its own service and three that its target calls.
SERVICES_PER_NODE: Final = 4
# Starting, ready, leaving and gone.
CHANGES_PER_RESTART: Final = 4
# A neighbour's nodes come over when a control instance is lost.
NODES_PER_CONTROL: Final = 2 * SERVERS / DATA_CENTRES
TARGETS_PER_NODE: Final = SERVICES_PER_NODE * SERVERS / SERVICES
EDITS_PER_S: Final = PEAK_FACTOR * EDITS_PER_DAY / SECONDS_PER_DAY
# Each edit concerns the nodes that need one service.
NODES_PER_EDIT: Final = SERVICES_PER_NODE * SERVERS / SERVICES
TARGET_CHANGES_PER_S: Final = (
    PEAK_FACTOR * RESTARTS_PER_DAY * CHANGES_PER_RESTART / SECONDS_PER_DAY
)

NODE_CPU_BUDGET_PERCENT: Final = 3.2
NODE_MEMORY_BUDGET_MIB: Final = 256.0
NODE_TRAFFIC_BUDGET_BYTES: Final = 8192.0


class Lines:
    """Measured lines by role and cost."""

    __slots__ = ('_by_cost',)

    def __init__(self, slopes: list[Slope]) -> None:
        """Index the lines."""
        self._by_cost = {(line.role, line.cost): line for line in slopes}

    def at(self, role: str, cost: str, size: float) -> float:
        """Return a cost at a size; never less than none."""
        line = self._by_cost[role, cost]
        return max(line.intercept + line.slope * size, 0)

    def shown(self, role: str, cost: str, size: float) -> str:
        """Return the arithmetic of a cost at a size."""
        line = self._by_cost[role, cost]
        base, step = format(line.intercept, '.4g'), format(line.slope, '.4g')
        return f'{base} + {step} x {size:.0f} {line.size}'


class Figure(Record):
    """One line of the capacity page."""

    __slots__ = (
        'role',
        'what',
        'unit',
        'mechanism',
        'arithmetic',
        'figure',
        'budget',
    )
    role: str
    what: str
    unit: str
    mechanism: str
    arithmetic: str
    figure: float
    budget: float | None


class Topic(Record):
    """What a projection is about."""

    __slots__ = ('role', 'what', 'unit', 'budget', 'mechanism')
    role: str
    what: str
    unit: str
    budget: float | None
    mechanism: str


Projection = Callable[[Lines], tuple[float, str]]
_projections: list[tuple[Topic, Projection]] = []


def project(slopes: list[Slope]) -> list[Figure]:
    """Run every registered projection over the measured lines."""
    lines = Lines(slopes)
    return [_figure(topic, run, lines) for topic, run in _projections]


def projection(
    role: str,
    what: str,
    unit: str,
    mechanism: str,
    budget: float | None = None,
) -> Callable[[Projection], Projection]:
    """Register a projection under what it is about."""
    topic = Topic(
        role=role,
        what=what,
        unit=unit,
        budget=budget,
        mechanism=mechanism,
    )

    def decorator(run: Projection) -> Projection:
        _projections.append((topic, run))
        return run

    return decorator


def shown_sum(idle: float, each: float, unit: str, per_s: float) -> str:
    """Return the arithmetic of a steady cost and one for each change."""
    shown_idle, shown_each = format(idle, '.3g'), format(each, '.4g')
    rate = format(per_s, '.3g')
    return f'{shown_idle} idle + {shown_each} {unit} x {rate}/s at peak'


def _figure(topic: Topic, run: Projection, lines: Lines) -> Figure:
    figure, arithmetic = run(lines)
    return Figure(
        role=topic.role,
        what=topic.what,
        unit=topic.unit,
        mechanism=topic.mechanism,
        arithmetic=arithmetic,
        figure=figure,
        budget=topic.budget,
    )
