"""Verbs of the command line."""

from mustardspur_client.verbs import (
    accounts,
    blocks,
    evacuations,
    explaining,
    instances,
    moves,
    profiles,
    services,
    table_checks,
    tables,
    timelines,
    voters,
    waiting,
    watching,
)
from mustardspur_client.verbs.registry import Verb, verb, verbs

# Importing these modules registers their verbs.
VERB_MODULES = (
    accounts,
    profiles,
    services,
    waiting,
    moves,
    watching,
    instances,
    timelines,
    voters,
    tables,
    table_checks,
    evacuations,
    blocks,
    explaining,
)

__all__ = ['VERB_MODULES', 'Verb', 'verb', 'verbs']
