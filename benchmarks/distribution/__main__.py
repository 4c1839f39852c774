"""Runs all measurements: ``python -m benchmarks.distribution``."""

from benchmarks.distribution.leader_loss import measure_leader_loss
from benchmarks.distribution.report import print_tables, write_json
from benchmarks.distribution.run import empty_run, run_design, run_full_push


def main() -> None:
    """Measure the design and the baseline; print and write the figures."""
    loss = measure_leader_loss()
    design = run_design()
    print_tables(design, empty_run())
    write_json(design, empty_run(), loss)
    baseline = run_full_push()
    print_tables(design, baseline)
    write_json(design, baseline, loss)


if __name__ == '__main__':
    main()
