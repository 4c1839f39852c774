"""Runs all sessions and reports the figures."""

import time
from multiprocessing import Pool
from typing import Final

from benchmarks.moves.figures import SessionResult
from benchmarks.moves.plan import jobs
from benchmarks.moves.report import print_report, write_json
from benchmarks.moves.session import SessionOutcome, run_case

PROCESS_COUNT: Final = 4
SESSIONS_PER_CHUNK: Final = 8


def _run(index: int) -> SessionOutcome:
    return run_case(_JOBS[index].case)


_JOBS: Final = jobs()


def main() -> None:
    """Run the sessions in several processes; print and write the figures."""
    started_s = time.perf_counter()
    with Pool(PROCESS_COUNT) as pool:
        outcomes = pool.map(_run, range(len(_JOBS)), SESSIONS_PER_CHUNK)
    sessions = [
        SessionResult(job=job, outcome=outcome)
        for job, outcome in zip(_JOBS, outcomes, strict=True)
    ]
    print_report(sessions)
    write_json(sessions, time.perf_counter() - started_s)


if __name__ == '__main__':
    main()
