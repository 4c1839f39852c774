"""Prints tables of figures."""

from itertools import chain

from rich.console import Console
from rich.table import Table

from benchmarks.calls.figures import Figures


def print_table(title: str, figures_by_row: dict[str, Figures]) -> None:
    """Print a table with a row for each entry and a column for each figure."""
    columns = list(dict.fromkeys(chain(*figures_by_row.values())))
    table = Table(title=title, title_justify='left')
    table.add_column('')
    for column in columns:
        table.add_column(column, justify='right')
    for label, row in figures_by_row.items():
        table.add_row(label, *(_format(row.get(name)) for name in columns))
    Console(width=160).print(table)


def _format(figure: object) -> str:
    if isinstance(figure, float):
        return f'{figure:.3f}'
    return '' if figure is None else str(figure)
