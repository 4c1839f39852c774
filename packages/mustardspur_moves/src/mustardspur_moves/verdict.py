"""Whether the evidence shows a bad version."""

from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.histogram import add_counts, bucket_of_top, count_from
from mustardspur_moves.progress import JudgedMove, Key
from mustardspur_moves.sequential import LogRatios
from mustardspur_moves.strata import EVERYWHERE, FAILURES, SLOW, SLOW_SHARE
from mustardspur_moves.tally import Tally
from mustardspur_moves.tuning import tuning_of

# Evidence that has to remain without the worst target.
REMAINING_EVIDENCE: Final = 20.0

# Weights in the mixture over kinds and scopes.
FAILURES_WEIGHT: Final = 0.5
OTHER_KIND_WEIGHT: Final = 0.25
EVERYWHERE_WEIGHT: Final = 0.5

_FIRST_KEY: Final[Key] = (FAILURES, EVERYWHERE)


class Verdict(Record):
    """What the evidence says of the new version.

    Parameters
    ----------
    bad : bool
        Whether it is shown to be worse than the old one.
    evidence_ratio : float
        How much likelier the outcomes are under a bad version.
    threshold : float
        Ratio from which the version counts as bad.
    kind, scope : str
        Which events weigh most, and where.
    sick_target : str
        A target that alone carries the evidence, empty for none.
    """

    __slots__ = (
        'bad',
        'evidence_ratio',
        'threshold',
        'kind',
        'scope',
        'sick_target',
    )
    bad: bool
    evidence_ratio: float
    threshold: float
    kind: str
    scope: str
    sick_target: str


def judge(
    move: Move,
    policy: MovePolicy,
    evidence: Evidence,
    new_targets: int = 0,
    window_s: float | None = None,
    caution: float = 1.0,
) -> Verdict:
    """Test the new version of a move against the old one.

    Parameters
    ----------
    move : Move
        The move.
    policy : MovePolicy
        Its policy; `weighing` sets the threshold.
    evidence : Evidence
        Outcomes of both versions.
    new_targets : int
        Known targets of the new version, if more than the evidence shows.
    window_s : float, optional
        Length of the windows of `evidence`, if not that of the policy.
    caution : float
        Factor on the threshold, for judges that are many.

    Returns
    -------
    Verdict
        Bad only if the evidence holds without the worst target as well,
        where the new version has more than one.
    """
    tuning = tuning_of(policy)
    judged = JudgedMove(move, evidence, window_s or tuning.window_s)
    ratio, key = _weigh(judged.statistics(''))
    verdict = Verdict(
        bad=False,
        evidence_ratio=ratio,
        threshold=caution / tuning.false_alarm,
        kind=key[0],
        scope=' '.join(key[1]).strip(),
        sick_target='',
    )
    if ratio >= verdict.threshold:
        worst, seen = _worst_target(move, evidence, verdict.kind)
        if max(seen, new_targets) > 1:
            rest = _weigh(judged.statistics(worst))[0]
            if rest < REMAINING_EVIDENCE:
                verdict.evidence_ratio = rest
                verdict.sick_target = worst
    verdict.bad = verdict.evidence_ratio >= verdict.threshold
    return verdict


def _weigh(statistics: dict[Key, LogRatios]) -> tuple[float, Key]:
    """Mix the statistics of all kinds and scopes; name the largest."""
    scopes = max(len({scope for _, scope in statistics}) - 1, 1)
    parts = {
        key: _weight(key, scopes) * sum(ratios) / len(ratios)
        for key, ratios in statistics.items()
    }
    largest = max(parts, key=parts.__getitem__, default=_FIRST_KEY)
    return sum(parts.values()), largest


def _weight(key: Key, scopes: int) -> float:
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
    """Return the new target with the most events, and how many there are."""
    pooled: dict[int, int] = {}
    for key, tally in evidence.tallies():
        if key.version == move.from_version:
            add_counts(pooled, tally.latency_counts)
    slow_from = bucket_of_top(pooled, SLOW_SHARE)
    events: dict[str, int] = {}
    for key, tally in evidence.tallies():
        if key.version == move.to_version:
            count = _events(tally, kind, slow_from)
            events[key.target] = events.get(key.target, 0) + count
    return max(events, key=events.__getitem__, default=''), len(events)


def _events(tally: Tally, kind: str, slow_from: int) -> int:
    if kind == SLOW:
        return count_from(tally.latency_counts, slow_from)
    return tally.failures if kind == FAILURES else tally.refusals
