"""Statistics of the sequential test over the slots of a move."""

from collections.abc import Iterable
from typing import Final

from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.histogram import add_counts
from mustardspur_moves.sequential import (
    LogRatios,
    add_ratios,
    log_ratios,
    update_statistic,
    zero_log_ratios,
)
from mustardspur_moves.slots import Slot
from mustardspur_moves.strata import (
    CellSelection,
    Scope,
    Trial,
    build_trials,
    find_slow_buckets,
)

# Time after its first call during which latencies and refusals of a new
# target are ignored.
COLD_START_S: Final = 20.0
# Largest part of the move's time that counts as cold start.
COLD_START_SHARE: Final = 0.12
# Weight of a fault that is present from the first event on. The remaining
# weight is spread over the move's time.
FIRST_WEIGHT: Final = 0.5
# The old version counts as fully loaded while the new version gets at most
# this share of the calls.
MAX_REFERENCE_SHARE: Final = 0.35
# One in this many windows is sampled for the old version's latencies.
REFERENCE_SAMPLE_INTERVAL: Final = 4

StatisticKey = tuple[str, Scope]
ReferenceLatencies = dict[str, dict[int, int]]


class SlotStatistics:
    """Statistics after a slot, and latencies of the loaded old version."""

    __slots__ = ('reference', 'statistics')

    def __init__(self, reference: ReferenceLatencies) -> None:
        """Initialise empty statistics with reference latencies."""
        self.statistics: dict[StatisticKey, LogRatios] = {}
        self.reference = reference


class MoveStatistics:
    """Statistics on the two versions of a move, computed slot by slot.

    Parameters
    ----------
    move : Move
        Move whose versions are compared.
    evidence : Evidence
        Outcomes of both versions.
    window_s : float
        Length of a time window in seconds.
    """

    __slots__ = ('_evidence', '_late_weight', '_move', '_warm_windows')

    def __init__(self, move: Move, evidence: Evidence, window_s: float) -> None:
        """Compute the weights and the end of each target's cold start."""
        self._move = move
        self._evidence = evidence
        length_s = max(move.by_s - move.started_s, window_s)
        self._late_weight = (1 - FIRST_WEIGHT) * window_s / length_s
        cold_s = min(COLD_START_S, COLD_START_SHARE * length_s)
        self._warm_windows = {
            target: first + round(cold_s / window_s)
            for target, first in evidence.first_windows.items()
        }

    def by_key(self, without_target: str) -> dict[StatisticKey, LogRatios]:
        """Return the statistics after the last slot.

        Parameters
        ----------
        without_target : str
            Target that is left out, empty for none.
        """
        selection = CellSelection(
            from_version=self._move.from_version,
            to_version=self._move.to_version,
            warm_windows=self._warm_windows,
            without_target=without_target,
        )
        result_cache = self._evidence.result_cache
        base = result_cache.base(without_target)
        current = (
            base if isinstance(base, SlotStatistics) else SlotStatistics({})
        )
        for slot in self._evidence.slots():
            cached = result_cache.get(without_target, slot)
            if not isinstance(cached, SlotStatistics):
                cached = self._after(slot, current, selection)
                result_cache.store(without_target, slot, cached)
            current = cached
        return current.statistics

    def _after(
        self,
        slot: Slot,
        before: SlotStatistics,
        selection: CellSelection,
    ) -> SlotStatistics:
        cells = self._evidence.cells_by_slot[slot]
        after = SlotStatistics(self._reference(slot, before.reference))
        slow = find_slow_buckets(cells, selection, before.reference)
        sums = _sum_log_ratios(
            build_trials(cells, slot.window, selection, slow)
        )
        for previous_key, previous in before.statistics.items():
            added = sums.pop(previous_key, None) or zero_log_ratios()
            after.statistics[previous_key] = update_statistic(
                previous, added, self._late_weight
            )
        for first_key, first in sums.items():
            after.statistics[first_key] = update_statistic(
                zero_log_ratios(), first, FIRST_WEIGHT
            )
        return after

    def _reference(
        self, slot: Slot, before: ReferenceLatencies
    ) -> ReferenceLatencies:
        old, new = (
            self._evidence.calls_in(slot, version)
            for version in (self._move.from_version, self._move.to_version)
        )
        sampled = slot.window % REFERENCE_SAMPLE_INTERVAL == 0 or not before
        if not sampled or new > MAX_REFERENCE_SHARE * (old + new):
            return before
        reference = {route: dict(counts) for route, counts in before.items()}
        for key, cell_counts in self._evidence.cells_by_slot[slot].items():
            if key.version == self._move.from_version:
                counts = reference.setdefault(key.route, {})
                add_counts(counts, cell_counts.latency_counts)
        return reference


def _sum_log_ratios(trials: Iterable[Trial]) -> dict[StatisticKey, LogRatios]:
    """Return the summed log ratios of a slot, by kind and scope."""
    sums: dict[StatisticKey, LogRatios] = {}
    for trial in trials:
        ratios = log_ratios(trial)
        for scope in trial.scopes:
            key = trial.kind, scope
            total = sums.get(key)
            if total is None:
                sums[key] = list(ratios)
            else:
                add_ratios(total, ratios)
    return sums
