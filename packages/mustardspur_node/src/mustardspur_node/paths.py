"""Paths of the HTTP interface of a node."""

from typing import Final

READY_PATH: Final = '/mustardspur/v1/ready'
ANNOUNCEMENTS_PATH: Final = '/mustardspur/v1/targets'
