"""Entry point of ``python -m mustardspur_daemon``."""

import sys

from mustardspur_daemon.main import main

if __name__ == '__main__':
    sys.exit(main())
