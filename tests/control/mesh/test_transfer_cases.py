"""Tests of the figures of the benchmark on transfers."""

from benchmarks.transfers.cases import (
    Case,
    PlayFigures,
    all_cases,
    case_figures,
    run_play,
)


def test_faults_under_load_need_enough_calls() -> None:
    """Guards against rows of bad versions whose fault never appears."""
    cases = list(all_cases())
    under_load = {case.load for case in cases if case.kind.endswith('load')}
    assert under_load == {'usual', 'burst', 'overloaded'}
    assert len(set(cases)) == len(cases)


def test_bad_version_over_its_limit_is_counted() -> None:
    """Guards against a table that hides versions over their limit."""
    plays = [
        PlayFigures(is_right=True, used=0.5),
        PlayFigures(is_right=True, used=1.2),
    ]
    row = case_figures(Case('errors 0.3', 'usual'), plays)
    assert (row.right, row.over, row.max_used) == (1, 0.5, 1.2)


def test_faults_reach_the_leader() -> None:
    """Guards against a table whose faults do not reach the leader."""
    figures = run_play(Case('errors 0.3', 'overloaded'), 1)
    assert figures.is_right
    assert figures.used < 1
