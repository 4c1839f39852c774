"""Summary of the evidence on a transfer for the log."""

from typing import Any, Final

from mustardspur_moves.histogram import quantile_ms

from mustardspur_control.mesh.evaluation import (
    other_version_totals,
    version_totals,
)
from mustardspur_control.mesh.evidence import RunTotals, Totals

# Routes in one log line; those with the most runs of the new version.
MAX_ROUTES: Final = 8
_QUANTILES: Final = (0.5, 0.9)


def summarize(totals: Totals, version: str) -> dict[str, Any]:
    """Return the counts of the new and the other versions by route.

    Parameters
    ----------
    totals : dict of RunTotals
        Counts by version, route and node.
    version : str
        The new version.

    Returns
    -------
    dict
        For each of the `MAX_ROUTES` routes with the most runs of the new
        version a pair of lists, of the new and of the other versions: runs,
        failed and unanswered runs, and the latencies in milliseconds at the
        quantiles 0.5 and 0.9.
    """
    new_by_route = {
        key.route: version_totals(totals, version, key.route)
        for key in totals
        if key.version == version
    }
    routes = sorted(
        new_by_route,
        key=lambda route: new_by_route[route].runs,
        reverse=True,
    )
    return {
        route: (
            _row(new_by_route[route]),
            _row(other_version_totals(totals, version, route)),
        )
        for route in routes[:MAX_ROUTES]
    }


def _row(counts: RunTotals) -> list[int]:
    return [
        counts.runs,
        counts.failed,
        counts.unanswered,
        *(
            round(quantile_ms(counts.latency_counts, quantile))
            for quantile in _QUANTILES
        ),
    ]
