"""Whether the evidence shows a bad version."""

from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.histogram import add_counts, bucket_of_top, count_from
from mustardspur_moves.sequential import (
    NO_WEIGHT,
    LogRatios,
    added,
    advanced,
    log_ratios,
)
from mustardspur_moves.slots import Slot
from mustardspur_moves.strata import (
    EVERYWHERE,
    FAILURES,
    SLOW,
    SLOW_SHARE,
    Comparison,
    Scope,
    slow_buckets_of,
    trials_of,
)
from mustardspur_moves.tally import Tally
from mustardspur_moves.tuning import tuning_of

# For this long after its first call a new target may be slow or refuse.
COLD_START_S: Final = 15.0
# Longest part of the move's time that a cold start may take.
COLD_START_SHARE: Final = 0.1
# Evidence that has to remain without the worst target.
REMAINING_EVIDENCE: Final = 20.0
# The old version is under its full load while the new one has less than this.
REFERENCE_SHARE: Final = 0.35

# Weights in the mixture over kinds and scopes.
FAILURES_WEIGHT: Final = 0.5
OTHER_KIND_WEIGHT: Final = 0.25
EVERYWHERE_WEIGHT: Final = 0.5

_Key = tuple[str, Scope]
_FIRST_KEY: Final[_Key] = (FAILURES, EVERYWHERE)


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


class _Running:
    """Statistics after a slot, and the old version's loaded latencies."""

    __slots__ = ('statistics', 'reference')

    def __init__(self) -> None:
        self.statistics: dict[_Key, LogRatios] = {}
        self.reference: dict[str, dict[int, int]] = {}


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
    judged = _Judged(move, evidence, window_s or tuning.window_s)
    ratio, (kind, scope) = _weigh(judged.statistics(''))
    sick_target = ''
    if ratio >= REMAINING_EVIDENCE:
        worst, seen = _worst_target(move, evidence, kind)
        if max(seen, new_targets) > 1:
            rest = _weigh(judged.statistics(worst))[0]
            if rest < REMAINING_EVIDENCE:
                ratio, sick_target = rest, worst
    return Verdict(
        bad=ratio * tuning.false_alarm >= caution,
        evidence_ratio=ratio,
        threshold=caution / tuning.false_alarm,
        kind=kind,
        scope=' '.join(scope).strip(),
        sick_target=sick_target,
    )


class _Judged:
    """The comparison of a move's two versions over all slots."""

    __slots__ = ('_move', '_evidence', '_start_weight', '_warm_windows')

    def __init__(self, move: Move, evidence: Evidence, window_s: float) -> None:
        self._move = move
        self._evidence = evidence
        length_s = max(move.by_s - move.started_s, window_s)
        self._start_weight = window_s / length_s
        cold_s = min(COLD_START_S, COLD_START_SHARE * length_s)
        self._warm_windows = {
            target: first + round(cold_s / window_s)
            for target, first in evidence.first_windows.items()
        }

    def statistics(self, without_target: str) -> dict[_Key, LogRatios]:
        """Return the statistics after the last slot."""
        comparison = Comparison(
            from_version=self._move.from_version,
            to_version=self._move.to_version,
            warm_windows=self._warm_windows,
            without_target=without_target,
        )
        scores = self._evidence.scores
        base = scores.base(without_target)
        running = base if isinstance(base, _Running) else _Running()
        for slot in self._evidence.slots():
            known = scores.get(without_target, slot)
            if not isinstance(known, _Running):
                known = self._after(slot, running, comparison)
                scores.keep(without_target, slot, known)
            running = known
        return running.statistics

    def _after(
        self, slot: Slot, before: _Running, comparison: Comparison
    ) -> _Running:
        cells = self._evidence.cells_by_slot[slot]
        after = _Running()
        after.reference = self._reference(slot, before)
        slow = slow_buckets_of(cells, comparison, before.reference)
        sums: dict[_Key, LogRatios] = {}
        for trial in trials_of(cells, slot.window, comparison, slow):
            ratios = log_ratios(trial)
            for scope in trial.scopes:
                key = trial.kind, scope
                sums[key] = added(sums.get(key, NO_WEIGHT), ratios)
        for key in before.statistics.keys() | sums.keys():
            after.statistics[key] = advanced(
                before.statistics.get(key, NO_WEIGHT),
                sums.get(key, NO_WEIGHT),
                self._start_weight,
            )
        return after

    def _reference(
        self, slot: Slot, before: _Running
    ) -> dict[str, dict[int, int]]:
        old, new = (
            self._evidence.calls_in(slot, version)
            for version in (self._move.from_version, self._move.to_version)
        )
        if new > REFERENCE_SHARE * (old + new):
            return before.reference
        reference = {
            route: dict(counts) for route, counts in before.reference.items()
        }
        for key, tally in self._evidence.cells_by_slot[slot].items():
            if key.version == self._move.from_version:
                counts = reference.setdefault(key.route, {})
                add_counts(counts, tally.latency_counts)
        return reference


def _weigh(statistics: dict[_Key, LogRatios]) -> tuple[float, _Key]:
    """Mix the statistics of all kinds and scopes; name the largest."""
    scopes = max(len({scope for _, scope in statistics}) - 1, 1)
    parts = {
        key: _weight(key, scopes) * sum(ratios) / len(ratios)
        for key, ratios in statistics.items()
    }
    largest = max(parts, key=parts.__getitem__, default=_FIRST_KEY)
    return sum(parts.values()), largest


def _weight(key: _Key, scopes: int) -> float:
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
