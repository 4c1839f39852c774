"""Entry point of ``mustardspurd`` and ``python -m mustardspur_daemon``."""

import importlib
import signal
import sys


def main() -> int:
    """Run the daemon, see `mustardspur_daemon.main.main`.

    Explanation
    ===========

    SIGHUP would end the process until it is handled, so it is ignored before
    anything else is imported. What changed meanwhile is applied once the
    settings are watched.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    daemon = importlib.import_module('mustardspur_daemon.main')
    exit_code: int = daemon.main()
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
