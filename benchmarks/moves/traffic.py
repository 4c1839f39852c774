"""Calls of one second at all targets, as counts."""

from collections.abc import Iterator
from typing import Any

import numpy as np
from mustardspur_core.record import Record
from mustardspur_core.units import MS_PER_S
from mustardspur_moves.outcome_counts import OutcomeCounts
from numpy import typing as npt

from benchmarks.moves.conditions import Conditions
from benchmarks.moves.kinds import Effect, Kind, Place
from benchmarks.moves.latencies import bucket_shares, sparse
from benchmarks.moves.layout import TrafficCell, cells_of
from benchmarks.moves.users import (
    CALLS_PER_SERVER_S,
    SLOTS_PER_TARGET,
    UserLoad,
)

Cells = npt.NDArray[Any]
LATENCY_NOISE = 0.1
LARGEST_USE = 0.9
COLUMNS = (
    'is_new',
    'server',
    'centre',
    'route',
    'caller',
    'rate',
    'median_ms',
)


class Calls(Record):
    """Counts of one cell in one second."""

    __slots__ = ('cell', 'tally')
    cell: TrafficCell
    tally: OutcomeCounts


class Traffic:
    """Source of calls, with a seed.

    Parameters
    ----------
    user : UserLoad
        Who calls what.
    kind : Kind
        How the versions behave.
    rate : float
        Factor on the busy call rate.
    seed : int
        Of the random numbers.
    """

    def __init__(
        self,
        user: UserLoad,
        kind: Kind,
        rate: float,
        seed: int,
    ) -> None:
        """Lay out the cells of traffic."""
        self.conditions = Conditions(kind.event)
        self.new_calls = 0
        self.harmed = 0
        self._kind = kind
        self._rate = rate
        self._rng = np.random.default_rng(seed)
        self._cells = cells_of(user)
        self._columns = {
            name: np.array([getattr(cell, name) for cell in self._cells])
            for name in COLUMNS
        }
        self._centres = len(user.servers)

    def calls(
        self,
        time_s: float,
        length_s: float,
        shares: list[float],
    ) -> Iterator[Calls]:
        """Draw one second of calls.

        Parameters
        ----------
        time_s, length_s : float
            Seconds since the move began, and its length.
        shares : list of float
            Share of the new version in force, by data centre.
        """
        share = np.array(shares)[self._column('centre')]
        rates = self._column('rate') * self._rate
        rates = rates * self.conditions.surge(time_s / length_s)
        is_new = self._column('is_new')
        rates = rates * np.where(is_new, share, 1 - share)
        per_target = self._per_target(rates)
        met = self._kind.behaviour(
            Place(
                time_s=time_s,
                length_s=length_s,
                is_new=is_new,
                target=self._column('server'),
                data_centre=self._column('centre'),
                route=self._column('route'),
                caller=self._column('caller'),
                load=per_target / (CALLS_PER_SERVER_S * self._rate),
            )
        )
        yield from self._draw(rates, per_target, met)

    def _draw(
        self,
        rates: Cells,
        per_target: Cells,
        met: Effect,
    ) -> Iterator[Calls]:
        counts = self._rng.poisson(rates)
        usual = self.conditions.failures(self._rng, self._centres)
        failing = np.minimum(usual[self._column('centre')] + met.failures, 1)
        failures = self._rng.binomial(counts, failing)
        refusals = self._rng.binomial(counts - failures, met.refusals)
        latencies = self._rng.multinomial(
            counts - failures - refusals,
            bucket_shares(self._medians_ms(met, per_target)),
        )
        self._note_harm(counts, failures + refusals, met)
        for place in np.flatnonzero(counts).tolist():
            yield Calls(
                cell=self._cells[place],
                tally=OutcomeCounts(
                    calls=int(counts[place]),
                    failures=int(failures[place]),
                    refusals=int(refusals[place]),
                    latency_counts=sparse(latencies[place]),
                ),
            )

    def _column(self, name: str) -> Cells:
        return self._columns[name]

    def _per_target(self, rates: Cells) -> Cells:
        group = self._column('server') * 2 + self._column('is_new')
        per_target: Cells = np.bincount(group, rates)[group]
        return per_target

    def _medians_ms(self, met: Effect, per_target: Cells) -> Cells:
        """Return the median latencies under load and with noise."""
        idle_ms = self._column('median_ms')
        used_slots = per_target * idle_ms / MS_PER_S
        use = np.minimum(used_slots / SLOTS_PER_TARGET, LARGEST_USE)
        noise = self._rng.lognormal(0, LATENCY_NOISE, self._centres)
        at_use_ms = idle_ms * met.slowdown / (1 - use)
        medians_ms: Cells = at_use_ms * noise[self._column('centre')]
        return medians_ms

    def _note_harm(
        self,
        counts: Cells,
        unserved: Cells,
        met: Effect,
    ) -> None:
        """Count failed calls of failing cells, all calls of slow ones."""
        is_new = self._column('is_new')
        failing = (met.failures > 0) | (met.refusals > 0)
        harmed = np.where(failing, unserved, 0)
        harmed = np.where(met.slowdown > 1, counts, harmed)
        self.new_calls = int(counts[is_new].sum())
        self.harmed = int(harmed[is_new].sum())
