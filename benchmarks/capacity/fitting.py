"""Linear regression of measured costs."""

import statistics

from mustardspur_core.record import Record

Point = tuple[float, float]


class Slope(Record):
    """A line fitted to a cost as a function of size.

    Parameters
    ----------
    role, cost, unit, size : str
        Role, name of the cost, its unit, and name of the size.
    sizes, costs : list of float
        The measured points.
    slope, intercept, fit : float
        Slope and intercept of the line, and the squared correlation.
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


class SlopeLabel(Record):
    """Role, cost, unit and size of a slope."""

    __slots__ = ('role', 'cost', 'unit', 'size')
    role: str
    cost: str
    unit: str
    size: str


def fit_slope(label: SlopeLabel, points: list[Point]) -> Slope:
    """Fit a line through points of size and cost by least squares."""
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    line = statistics.linear_regression(sizes, costs)
    is_flat = len(set(costs)) == 1
    fit = 0 if is_flat else statistics.correlation(sizes, costs) ** 2
    return Slope(
        role=label.role,
        cost=label.cost,
        unit=label.unit,
        size=label.size,
        sizes=sizes,
        costs=costs,
        slope=line.slope,
        intercept=line.intercept,
        fit=fit,
    )


class Costs:
    """Measured points of each cost, all with the same kind of size."""

    __slots__ = ('_points_by_cost', '_units_by_cost')

    def __init__(self) -> None:
        """Initialise without points."""
        self._points_by_cost: dict[str, list[Point]] = {}
        self._units_by_cost: dict[str, str] = {}

    def add(self, cost: str, unit: str, size: float, measured: float) -> None:
        """Add the cost measured at a size."""
        self._units_by_cost[cost] = unit
        self._points_by_cost.setdefault(cost, []).append((size, measured))

    def last(self, cost: str) -> float:
        """Return the last measured value of a cost."""
        return self._points_by_cost[cost][-1][1]

    def slopes(self, role: str, size: str) -> list[Slope]:
        """Return the fitted line of each cost."""
        return [
            fit_slope(
                SlopeLabel(
                    role=role,
                    cost=cost,
                    unit=self._units_by_cost[cost],
                    size=size,
                ),
                points,
            )
            for cost, points in self._points_by_cost.items()
        ]
