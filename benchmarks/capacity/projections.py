"""Resource needs of each role at the design size, from fitted lines."""

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

# Assumption: ratio of the peak rate of edits to the daily mean, since operators
# work by day and edit in bursts.
PEAK_FACTOR: Final = 10
# Assumption: a node needs its own service and three that its target calls.
SERVICES_PER_NODE: Final = 4
# States of a restart: starting, ready, draining and removed.
CHANGES_PER_RESTART: Final = 4
# The nodes of another control instance reconnect to this one when that
# instance is lost.
NODES_PER_CONTROL: Final = 2 * SERVERS / DATA_CENTRES
TARGETS_PER_NODE: Final = SERVICES_PER_NODE * SERVERS / SERVICES
EDITS_PER_S: Final = PEAK_FACTOR * EDITS_PER_DAY / SECONDS_PER_DAY
# An edit affects the nodes that need one service.
NODES_PER_EDIT: Final = SERVICES_PER_NODE * SERVERS / SERVICES
TARGET_CHANGES_PER_S: Final = (
    PEAK_FACTOR * RESTARTS_PER_DAY * CHANGES_PER_RESTART / SECONDS_PER_DAY
)

NODE_CPU_BUDGET_PERCENT: Final = 3.2
NODE_MEMORY_BUDGET_MIB: Final = 256.0
NODE_TRAFFIC_BUDGET_BYTES: Final = 8192.0


class FittedLines:
    """Fitted lines by role and cost.

    Parameters
    ----------
    slopes : list of Slope
        Fitted lines.
    """

    __slots__ = ('_by_cost',)

    def __init__(self, slopes: list[Slope]) -> None:
        """Initialise the index by role and cost."""
        self._by_cost = {(line.role, line.cost): line for line in slopes}

    def cost_at(self, role: str, cost: str, size: float) -> float:
        """Return a cost at a size, at least 0."""
        line = self._by_cost[role, cost]
        return max(line.intercept + line.slope * size, 0)

    def arithmetic(self, role: str, cost: str, size: float) -> str:
        """Return the arithmetic of a cost at a size as text."""
        line = self._by_cost[role, cost]
        base, step = format(line.intercept, '.4g'), format(line.slope, '.4g')
        return f'{base} + {step} x {size:.0f} {line.size}'


class ProjectedFigure(Record):
    """A projected figure, one row of the table."""

    __slots__ = (
        'role',
        'need',
        'unit',
        'mechanism',
        'arithmetic',
        'figure',
        'budget',
    )
    role: str
    need: str
    unit: str
    mechanism: str
    arithmetic: str
    figure: float
    budget: float | None


class ProjectionLabel(Record):
    """Role, need, unit, budget and mechanism of a projection."""

    __slots__ = ('role', 'need', 'unit', 'budget', 'mechanism')
    role: str
    need: str
    unit: str
    budget: float | None
    mechanism: str


Projection = Callable[[FittedLines], tuple[float, str]]
_projections: list[tuple[ProjectionLabel, Projection]] = []


def project(slopes: list[Slope]) -> list[ProjectedFigure]:
    """Return the figures of all registered projections."""
    lines = FittedLines(slopes)
    return [_figure(label, run, lines) for label, run in _projections]


def projection(
    role: str,
    need: str,
    unit: str,
    mechanism: str,
    budget: float | None = None,
) -> Callable[[Projection], Projection]:
    """Register a projection.

    Parameters
    ----------
    role, need, unit : str
        Role, name of its need and unit of the figure.
    mechanism : str
        Design that keeps the need low.
    budget : float, optional
        Upper limit of the figure.
    """
    label = ProjectionLabel(
        role=role,
        need=need,
        unit=unit,
        budget=budget,
        mechanism=mechanism,
    )

    def decorator(run: Projection) -> Projection:
        _projections.append((label, run))
        return run

    return decorator


def sum_arithmetic(idle: float, each: float, unit: str, per_s: float) -> str:
    """Return the arithmetic of an idle cost plus a cost per change as text."""
    idle_text, change_text = format(idle, '.3g'), format(each, '.4g')
    rate = format(per_s, '.3g')
    return f'{idle_text} idle + {change_text} {unit} x {rate}/s at peak'


def _figure(
    label: ProjectionLabel, run: Projection, lines: FittedLines
) -> ProjectedFigure:
    figure, arithmetic = run(lines)
    return ProjectedFigure(
        role=label.role,
        need=label.need,
        unit=label.unit,
        mechanism=label.mechanism,
        arithmetic=arithmetic,
        figure=figure,
        budget=label.budget,
    )
