"""Tables of docs/CAPACITY.md, as Markdown."""

from benchmarks.capacity import design_size
from benchmarks.capacity.fitting import Slope
from benchmarks.capacity.projections import ProjectedFigure, project

# The import of these modules registers their projections.
PROJECTION_MODULES = (design_size,)


def capacity_tables(slopes: list[Slope]) -> str:
    """Return the tables of fitted lines and of projected figures."""
    measured = [
        '| role | cost | per | slope | at 0 | fit | points |',
        '|---|---|---|---|---|---|---|',
        *map(_line_row, slopes),
    ]
    projected = [
        '| role | need at the design size | figure | budget | arithmetic |'
        ' mechanism |',
        '|---|---|---|---|---|---|',
        *map(_figure_row, project(slopes)),
    ]
    return '\n'.join([*measured, '', *projected, ''])


def _line_row(line: Slope) -> str:
    points = zip(line.sizes, line.costs, strict=True)
    cells = (
        line.role,
        f'{line.cost}, {line.unit}',
        line.size,
        _short(line.slope),
        _short(line.intercept),
        _short(line.fit),
        '; '.join(': '.join(map(_short, point)) for point in points),
    )
    return _row(cells)


def _figure_row(figure: ProjectedFigure) -> str:
    budget = '-'
    if figure.budget is not None:
        verdict = 'OVER' if figure.figure > figure.budget else 'under'
        budget = f'{_short(figure.budget)} ({verdict})'
    cells = (
        figure.role,
        figure.need,
        ' '.join((_short(figure.figure), figure.unit)),
        budget,
        figure.arithmetic,
        figure.mechanism,
    )
    return _row(cells)


def _row(cells: tuple[str, ...]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _short(figure: float) -> str:
    return format(figure, '.4g')
