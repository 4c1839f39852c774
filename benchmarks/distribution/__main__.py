"""Runs all measurements: ``python -m benchmarks.distribution``."""

from benchmarks.distribution.report import print_tables, write_json
from benchmarks.distribution.run import empty_run, run_design, run_full_push


def main() -> None:
    """Measure the design and the baseline, print and write the figures."""
    design = run_design()
    print_tables(design, empty_run())
    write_json(design, empty_run())
    baseline = run_full_push()
    print_tables(design, baseline)
    write_json(design, baseline)


if __name__ == '__main__':
    main()
