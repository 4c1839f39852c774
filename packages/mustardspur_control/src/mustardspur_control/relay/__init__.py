"""Relay of targets, reports, evidence and cut-offs between instances."""

from mustardspur_control.relay.messages import RelayHello
from mustardspur_control.relay.relay import Relay

__all__ = ['Relay', 'RelayHello']
