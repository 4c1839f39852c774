"""Runs one role: ``python -m benchmarks.calls.roles NAME SETTINGS``."""

import asyncio
import json
import os
import sys

import uvloop

from benchmarks.calls.roles.load import run_load
from benchmarks.calls.roles.naive import run_naive
from benchmarks.calls.roles.node import run_node
from benchmarks.calls.roles.registry import roles_by_name
from benchmarks.calls.roles.target import run_target

ROLES = (run_load, run_naive, run_node, run_target)

if __name__ == '__main__':
    # uvloop opens an io_uring descriptor for each loop unless this is 0.
    os.environ['UV_USE_IO_URING'] = '0'
    main = roles_by_name[sys.argv[1]](json.loads(sys.argv[2]))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)
