"""The test's statistics over the slots of a move."""

from collections.abc import Iterable
from typing import Final

from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.histogram import add_counts
from mustardspur_moves.sequential import (
    LogRatios,
    add_ratios,
    advanced,
    log_ratios,
    no_ratios,
)
from mustardspur_moves.slots import Slot
from mustardspur_moves.strata import (
    Comparison,
    Scope,
    Trial,
    slow_buckets_of,
    trials_of,
)

# For this long after its first call a new target may be slow or refuse.
COLD_START_S: Final = 20.0
# Longest part of the move's time that a cold start may take.
COLD_START_SHARE: Final = 0.12
# Weight of a fault that shows from the first event on; the rest is spread
# over the move's time.
FIRST_WEIGHT: Final = 0.5
# The old version is under its full load while the new one has less than this.
REFERENCE_SHARE: Final = 0.35
# One window in this many is a sample of the old version's latencies.
REFERENCE_EVERY: Final = 4

Key = tuple[str, Scope]
Reference = dict[str, dict[int, int]]


class Progress:
    """Statistics after a slot, and the old version's loaded latencies."""

    __slots__ = ('statistics', 'reference')

    def __init__(self, reference: Reference) -> None:
        """Start without statistics."""
        self.statistics: dict[Key, LogRatios] = {}
        self.reference = reference


class JudgedMove:
    """The comparison of a move's two versions over all slots.

    Parameters
    ----------
    move : Move
        The move.
    evidence : Evidence
        Outcomes of both versions.
    window_s : float
        Length of a window.
    """

    __slots__ = ('_move', '_evidence', '_late_weight', '_warm_windows')

    def __init__(self, move: Move, evidence: Evidence, window_s: float) -> None:
        """Derive the weights and the cold starts."""
        self._move = move
        self._evidence = evidence
        length_s = max(move.by_s - move.started_s, window_s)
        self._late_weight = (1 - FIRST_WEIGHT) * window_s / length_s
        cold_s = min(COLD_START_S, COLD_START_SHARE * length_s)
        self._warm_windows = {
            target: first + round(cold_s / window_s)
            for target, first in evidence.first_windows.items()
        }

    def statistics(self, without_target: str) -> dict[Key, LogRatios]:
        """Return the statistics after the last slot.

        Parameters
        ----------
        without_target : str
            A target that is left out, empty for none.
        """
        comparison = Comparison(
            from_version=self._move.from_version,
            to_version=self._move.to_version,
            warm_windows=self._warm_windows,
            without_target=without_target,
        )
        scores = self._evidence.scores
        base = scores.base(without_target)
        progress = base if isinstance(base, Progress) else Progress({})
        for slot in self._evidence.slots():
            known = scores.get(without_target, slot)
            if not isinstance(known, Progress):
                known = self._after(slot, progress, comparison)
                scores.keep(without_target, slot, known)
            progress = known
        return progress.statistics

    def _after(
        self,
        slot: Slot,
        before: Progress,
        comparison: Comparison,
    ) -> Progress:
        cells = self._evidence.cells_by_slot[slot]
        after = Progress(self._reference(slot, before.reference))
        slow = slow_buckets_of(cells, comparison, before.reference)
        sums = _sums(trials_of(cells, slot.window, comparison, slow))
        for known_key, known in before.statistics.items():
            added = sums.pop(known_key, None) or no_ratios()
            after.statistics[known_key] = advanced(
                known, added, self._late_weight
            )
        for first_key, first in sums.items():
            after.statistics[first_key] = advanced(
                no_ratios(), first, FIRST_WEIGHT
            )
        return after

    def _reference(self, slot: Slot, before: Reference) -> Reference:
        old, new = (
            self._evidence.calls_in(slot, version)
            for version in (self._move.from_version, self._move.to_version)
        )
        sampled = slot.window % REFERENCE_EVERY == 0 or not before
        if not sampled or new > REFERENCE_SHARE * (old + new):
            return before
        reference = {route: dict(counts) for route, counts in before.items()}
        for key, tally in self._evidence.cells_by_slot[slot].items():
            if key.version == self._move.from_version:
                counts = reference.setdefault(key.route, {})
                add_counts(counts, tally.latency_counts)
        return reference


def _sums(trials: Iterable[Trial]) -> dict[Key, LogRatios]:
    """Return the log ratios of a slot, by kind and scope."""
    sums: dict[Key, LogRatios] = {}
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
