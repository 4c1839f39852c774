"""Figures from the rows of a load generator."""

from typing import Any

from mustardspur_core.record import Record

Figures = dict[str, Any]
GOOD_STATUS = 200


class Row(Record):
    """What became of one call."""

    __slots__ = (
        'variant',
        'method',
        'path',
        'request_id',
        'status',
        'outcome',
        'latency_ms',
    )
    variant: str
    method: str
    path: str
    request_id: str
    status: int
    outcome: str
    latency_ms: float

    @property
    def good(self) -> bool:
        """Whether the caller has a complete answer."""
        return self.status == GOOD_STATUS


def parse_rows(raw: list[list[Any]]) -> list[Row]:
    """Return rows with names."""
    return [
        Row(**dict(zip(Row.__slots__, fields, strict=True))) for fields in raw
    ]


def percentile(rows: list[Row], share: float) -> float:
    """Return a percentile of the latency of good answers, in ms."""
    latencies = sorted(row.latency_ms for row in rows if row.good)
    if not latencies:
        return float('inf')
    return round(latencies[int(share * (len(latencies) - 1))], 3)


def goodput(rows: list[Row], duration_s: float) -> float:
    """Return good answers a second."""
    return round(sum(row.good for row in rows) / duration_s, 1)


def errors(rows: list[Row]) -> int:
    """Return the calls without a good answer."""
    return sum(not row.good for row in rows)


def duplicate_runs(counts: list[dict[str, Any]]) -> int:
    """Return the runs of non-idempotent calls beyond the first."""
    runs_by_id: dict[str, int] = {}
    for count in counts:
        for request_id, runs in count['runs_by_id'].items():
            runs_by_id[request_id] = runs_by_id.get(request_id, 0) + runs
    return sum(runs_by_id.values()) - len(runs_by_id)


def wrong_not_run(rows: list[Row], counts: list[dict[str, Any]]) -> int:
    """Return the not-run answers to calls that a target ran."""
    ran = {request_id for count in counts for request_id in count['runs_by_id']}
    return sum(
        row.outcome == 'not-run' and row.request_id in ran for row in rows
    )
