"""The program that ignores SIGHUP and then runs Python in its process."""

from mustardspur_daemon.interpreter.building import Built, build_interpreter
from mustardspur_daemon.interpreter.ways import UnusableWayError

__all__ = ['Built', 'UnusableWayError', 'build_interpreter']
