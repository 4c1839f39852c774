"""Setups that the model check plays, from small to large."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from mustardspur_agreement.checking.model import Budget, Setup

SETUPS_BY_NAME: Final[Mapping[str, Setup]] = MappingProxyType(
    {
        'elections': Setup(
            budget=Budget(
                losses=0, restarts=1, power_losses=1, late=1, terms=3
            ),
        ),
        'lost-disk': Setup(budget=Budget(losses=1)),
        'lost-disk-three-terms': Setup(budget=Budget(losses=1, terms=3)),
        'lost-disk-voters-in-settings': Setup(
            budget=Budget(losses=1, restarts=1),
            lists_voters_again=True,
        ),
        'lost-disk-and-stops': Setup(
            budget=Budget(losses=1, restarts=1, power_losses=1, late=1),
        ),
        'lost-disk-and-entries': Setup(
            budget=Budget(losses=1, proposals=1, reads=1),
        ),
        'two-lost-disks': Setup(budget=Budget(losses=2)),
        'changes-of-voters': Setup(
            instances=4,
            budget=Budget(losses=0, changes=2),
        ),
        'lost-disk-and-change': Setup(
            instances=4,
            budget=Budget(losses=1, changes=1),
        ),
        'forgotten-start': Setup(budget=Budget(losses=1, forgotten=1)),
        'forgotten-start-and-changes': Setup(
            instances=4,
            budget=Budget(losses=1, forgotten=1, changes=2),
            min_voters=3,
        ),
        'four-voters': Setup(instances=4, seeds=4, budget=Budget(losses=1)),
    }
)
