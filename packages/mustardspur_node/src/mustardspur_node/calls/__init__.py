"""The path of a call: routing, balancing, limits, retries, ejection."""

from mustardspur_node.calls.forwarder import CallForwarder
from mustardspur_node.calls.serving import run_forwarder, tune_collector

__all__ = ['CallForwarder', 'run_forwarder', 'tune_collector']
