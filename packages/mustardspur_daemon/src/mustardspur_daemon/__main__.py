"""Lets ``python -m mustardspur_daemon`` run the daemon."""

import sys

from mustardspur_daemon.main import main

if __name__ == '__main__':
    sys.exit(main())
