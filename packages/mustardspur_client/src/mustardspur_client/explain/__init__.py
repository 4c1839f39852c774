"""Explanation of the outcome of a call from the logs of all processes."""

from mustardspur_client.explain.causes import Explanation, explain
from mustardspur_client.explain.log_lines import (
    LogLine,
    LogLines,
    read_log_lines,
)

__all__ = [
    'Explanation',
    'LogLine',
    'LogLines',
    'explain',
    'read_log_lines',
]
