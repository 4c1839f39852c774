"""Verbs of the command line."""

from mustardspur_client.verbs import (
    explaining,
    instances,
    moves,
    profiles,
    services,
    tables,
    timelines,
    voters,
    waiting,
    watching,
)
from mustardspur_client.verbs.registry import Verb, verb, verbs

# Importing these modules registers their verbs.
VERB_MODULES = (
    profiles,
    services,
    waiting,
    moves,
    watching,
    instances,
    timelines,
    voters,
    tables,
    explaining,
)

__all__ = ['VERB_MODULES', 'Verb', 'verb', 'verbs']
