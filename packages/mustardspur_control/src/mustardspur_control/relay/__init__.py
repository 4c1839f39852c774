"""Streams between control instances about targets, reports and cut-offs."""

from mustardspur_control.relay.messages import RelayHello
from mustardspur_control.relay.relay import Relay

__all__ = ['Relay', 'RelayHello']
