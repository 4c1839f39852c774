"""Bounded model check of the agreement of the control instances."""

from mustardspur_agreement.checking.model import Budget, Setup
from mustardspur_agreement.checking.search import Found, Search

__all__ = ['Budget', 'Found', 'Search', 'Setup']
