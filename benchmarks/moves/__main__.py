"""Runs all sessions and reports."""

import time
from multiprocessing import Pool
from typing import Final

from benchmarks.moves.figures import Ended
from benchmarks.moves.plan import jobs
from benchmarks.moves.report import print_report, write_json
from benchmarks.moves.session import Outcome, run_case

PROCESSES: Final = 4
CHUNK: Final = 8


def _run(place: int) -> Outcome:
    return run_case(_JOBS[place].case)


_JOBS: Final = jobs()


def main() -> None:
    """Run the sessions on several processes, print and write the figures."""
    started_s = time.perf_counter()
    with Pool(PROCESSES) as pool:
        outcomes = pool.map(_run, range(len(_JOBS)), CHUNK)
    sessions = [
        Ended(job=job, outcome=outcome)
        for job, outcome in zip(_JOBS, outcomes, strict=True)
    ]
    print_report(sessions)
    write_json(sessions, time.perf_counter() - started_s)


if __name__ == '__main__':
    main()
