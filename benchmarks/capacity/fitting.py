"""Straight lines through measured points."""

import statistics

from mustardspur_core.record import Record

Point = tuple[float, float]


class Slope(Record):
    """A measured cost against a size.

    Parameters
    ----------
    role, cost, unit, size : str
        What costs what in which unit, against which size.
    sizes, costs : list of float
        The measured points.
    slope, intercept, fit : float
        The line, and the square of the correlation.
    """

    __slots__ = (
        'role',
        'cost',
        'unit',
        'size',
        'sizes',
        'costs',
        'slope',
        'intercept',
        'fit',
    )
    role: str
    cost: str
    unit: str
    size: str
    sizes: list[float]
    costs: list[float]
    slope: float
    intercept: float
    fit: float


class Subject(Record):
    """What a slope is about."""

    __slots__ = ('role', 'cost', 'unit', 'size')
    role: str
    cost: str
    unit: str
    size: str


def fit_slope(subject: Subject, points: list[Point]) -> Slope:
    """Fit a line through points of size and cost by least squares."""
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    line = statistics.linear_regression(sizes, costs)
    is_flat = len(set(costs)) == 1
    fit = 0 if is_flat else statistics.correlation(sizes, costs) ** 2
    return Slope(
        role=subject.role,
        cost=subject.cost,
        unit=subject.unit,
        size=subject.size,
        sizes=sizes,
        costs=costs,
        slope=line.slope,
        intercept=line.intercept,
        fit=fit,
    )


class Costs:
    """Points of each cost against one size."""

    __slots__ = ('_points_by_cost', '_units_by_cost')

    def __init__(self) -> None:
        """Start without points."""
        self._points_by_cost: dict[str, list[Point]] = {}
        self._units_by_cost: dict[str, str] = {}

    def add(self, cost: str, unit: str, size: float, spent: float) -> None:
        """Add a point."""
        self._units_by_cost[cost] = unit
        self._points_by_cost.setdefault(cost, []).append((size, spent))

    def newest(self, cost: str) -> float:
        """Return the newest point of a cost."""
        return self._points_by_cost[cost][-1][1]

    def slopes(self, role: str, size: str) -> list[Slope]:
        """Fit a line for each cost."""
        return [
            fit_slope(
                Subject(
                    role=role,
                    cost=cost,
                    unit=self._units_by_cost[cost],
                    size=size,
                ),
                points,
            )
            for cost, points in self._points_by_cost.items()
        ]
