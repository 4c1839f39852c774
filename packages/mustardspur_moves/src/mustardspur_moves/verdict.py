"""Statistical verdict on the new version of a move."""

from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.histogram import add_counts, count_from, top_share_bucket
from mustardspur_moves.move_statistics import MoveStatistics, StatisticKey
from mustardspur_moves.outcome_counts import OutcomeCounts
from mustardspur_moves.sequential import LogRatios
from mustardspur_moves.strata import EVERYWHERE, FAILURES, SLOW, SLOW_SHARE
from mustardspur_moves.tuning import tuning_of

# Evidence ratio that must remain without the worst target; below it, the
# fault is attributed to that target and not to the version.
MIN_REMAINING_RATIO: Final = 20.0

# Weights of the statistics in the mixture over kinds and scopes; they add up
# to 1 over all statistics, so the mixture stays a likelihood ratio.
FAILURES_WEIGHT: Final = 0.5
OTHER_KIND_WEIGHT: Final = 0.25
EVERYWHERE_WEIGHT: Final = 0.5

_FIRST_KEY: Final[StatisticKey] = (FAILURES, EVERYWHERE)


class Verdict(Record):
    """Result of the test of the new version against the old one.

    Parameters
    ----------
    bad : bool
        Whether the new version is shown to be worse than the old one.
    evidence_ratio : float
        Ratio of the likelihood of the outcomes under a bad version to that
        under a good one.
    threshold : float
        Smallest evidence ratio at which the version is bad.
    kind, scope : str
        Kind of event and scope with the largest weighted statistic.
    faulty_target : str
        Target that alone accounts for the evidence, empty for none.
    """

    __slots__ = (
        'bad',
        'evidence_ratio',
        'threshold',
        'kind',
        'scope',
        'faulty_target',
    )
    bad: bool
    evidence_ratio: float
    threshold: float
    kind: str
    scope: str
    faulty_target: str


def evaluate_version(
    move: Move,
    policy: MovePolicy,
    evidence: Evidence,
    new_targets: int = 0,
    window_s: float | None = None,
    threshold_factor: float = 1.0,
) -> Verdict:
    """Test the new version of a move against the old one.

    Parameters
    ----------
    move : Move
        Move whose versions are compared.
    policy : MovePolicy
        Policy of the move; `weighing` sets the threshold.
    evidence : Evidence
        Outcomes of both versions.
    new_targets : int
        Number of known targets of the new version; used if it exceeds the
        number of targets in the evidence.
    window_s : float, optional
        Length of the windows of `evidence` in seconds, by default that of
        the policy.
    threshold_factor : float
        Factor on the threshold. It is above 1 where many processes test the
        same version, each with its own risk of a false alarm.

    Returns
    -------
    Verdict
        Bad only if the evidence ratio reaches the threshold. If the new
        version has more than one target and too little evidence remains
        without the worst one, the remaining ratio is used instead.
    """
    tuning = tuning_of(policy)
    statistics = MoveStatistics(move, evidence, window_s or tuning.window_s)
    ratio, key = _mix_statistics(statistics.by_key(''))
    verdict = Verdict(
        bad=False,
        evidence_ratio=ratio,
        threshold=threshold_factor / tuning.false_alarm,
        kind=key[0],
        scope=' '.join(key[1]).strip(),
        faulty_target='',
    )
    if ratio >= verdict.threshold:
        worst, target_count = _worst_target(move, evidence, verdict.kind)
        if max(target_count, new_targets) > 1:
            remaining = _mix_statistics(statistics.by_key(worst))[0]
            if remaining < MIN_REMAINING_RATIO:
                verdict.evidence_ratio = remaining
                verdict.faulty_target = worst
    verdict.bad = verdict.evidence_ratio >= verdict.threshold
    return verdict


def _mix_statistics(
    statistics: dict[StatisticKey, LogRatios],
) -> tuple[float, StatisticKey]:
    """Return the weighted sum of the statistics and the key of the largest."""
    scopes = max(len({scope for _, scope in statistics}) - 1, 1)
    weighted = {
        key: _weight(key, scopes) * sum(ratios) / len(ratios)
        for key, ratios in statistics.items()
    }
    largest = max(weighted, key=weighted.__getitem__, default=_FIRST_KEY)
    return sum(weighted.values()), largest


def _weight(key: StatisticKey, scopes: int) -> float:
    kind, scope = key
    kind_weight = FAILURES_WEIGHT if kind == FAILURES else OTHER_KIND_WEIGHT
    if scope == EVERYWHERE:
        return kind_weight * EVERYWHERE_WEIGHT
    return kind_weight * (1 - EVERYWHERE_WEIGHT) / scopes


def _worst_target(
    move: Move,
    evidence: Evidence,
    kind: str,
) -> tuple[str, int]:
    """Return the new target with the most events, and the target count."""
    old_latency_counts: dict[int, int] = {}
    for key, cell_counts in evidence.all_cells():
        if key.version == move.from_version:
            add_counts(old_latency_counts, cell_counts.latency_counts)
    slow_from = top_share_bucket(old_latency_counts, SLOW_SHARE)
    events: dict[str, int] = {}
    for key, cell_counts in evidence.all_cells():
        if key.version == move.to_version:
            count = _count_events(cell_counts, kind, slow_from)
            events[key.target] = events.get(key.target, 0) + count
    return max(events, key=events.__getitem__, default=''), len(events)


def _count_events(cell_counts: OutcomeCounts, kind: str, slow_from: int) -> int:
    if kind == SLOW:
        return count_from(cell_counts.latency_counts, slow_from)
    return cell_counts.failures if kind == FAILURES else cell_counts.refusals
