"""Call forwarding: routing, balancing, limits, retries and ejection."""

from mustardspur_node.calls.forwarder import CallForwarder
from mustardspur_node.calls.serving import run_forwarder

__all__ = ['CallForwarder', 'run_forwarder']
