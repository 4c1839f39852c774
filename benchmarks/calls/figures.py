"""Figures from the results of a load generator."""

from typing import Any

from mustardspur_core.record import Record

Figures = dict[str, Any]
STATUS_OK = 200


class CallResult(Record):
    """Result of one call.

    Parameters
    ----------
    variant : str
        Name of the address that was called.
    method, path, request_id : str
        Request of the call.
    status : int
        Status of the answer, 0 without an answer.
    outcome : str
        Header ``x-mustardspur-outcome`` of the answer, empty without one.
    latency_ms : float
        Time from the request to the complete answer.
    """

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
    def succeeded(self) -> bool:
        """Whether the caller received an answer with status 200."""
        return self.status == STATUS_OK


def parse_results(raw: list[list[Any]]) -> list[CallResult]:
    """Convert the lists of a load generator to results."""
    return [
        CallResult(**dict(zip(CallResult.__slots__, fields, strict=True)))
        for fields in raw
    ]


def percentile(results: list[CallResult], share: float) -> float:
    """Return a percentile of the latency of successful calls, in ms.

    It is infinite if no call succeeded.
    """
    latencies = sorted(
        result.latency_ms for result in results if result.succeeded
    )
    if not latencies:
        return float('inf')
    return round(latencies[int(share * (len(latencies) - 1))], 3)


def goodput(results: list[CallResult], duration_s: float) -> float:
    """Return the successful calls per second."""
    return round(sum(result.succeeded for result in results) / duration_s, 1)


def errors(results: list[CallResult]) -> int:
    """Return the number of calls that did not succeed."""
    return sum(not result.succeeded for result in results)


def duplicate_runs(counts: list[dict[str, Any]]) -> int:
    """Return the number of repeated runs of non-idempotent calls."""
    runs_by_id: dict[str, int] = {}
    for count in counts:
        for request_id, runs in count['runs_by_id'].items():
            runs_by_id[request_id] = runs_by_id.get(request_id, 0) + runs
    return sum(runs_by_id.values()) - len(runs_by_id)


def wrong_not_run(
    results: list[CallResult], counts: list[dict[str, Any]]
) -> int:
    """Return the number of not-run answers to calls that a target ran."""
    ran = {request_id for count in counts for request_id in count['runs_by_id']}
    return sum(
        result.outcome == 'not-run' and result.request_id in ran
        for result in results
    )
