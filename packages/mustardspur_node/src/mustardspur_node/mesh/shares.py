"""Choice of the service of a call by the weights of its route."""

import random

from mustardspur_core.mesh.model import MeshRoute


class ShareChooser:
    """Assigns the calls of each route to services by smooth round-robin.

    Explanation
    ===========

    A random choice is off by several parts in a hundred over a few hundred
    calls; counting keeps each node's calls within one call of the weights.
    """

    __slots__ = ('_choice', '_credits')

    def __init__(self, choice: random.Random) -> None:
        """Start without calls."""
        self._choice = choice
        self._credits: dict[str, dict[str, float]] = {}

    def service_of(self, route: MeshRoute) -> str:
        """Return the service of the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        held = self._credits.get(route.name)
        if held is None or held.keys() != {
            each.service for each in route.shares
        }:
            # Nodes start at different points, so that their first calls do
            # not all go to the service with the highest weight.
            held = {
                share.service: self._choice.random() * share.weight
                for share in route.shares
            }
            self._credits[route.name] = held
        for part in route.shares:
            held[part.service] += part.weight
        chosen = max(
            (each.service for each in route.shares if each.weight),
            key=held.__getitem__,
        )
        held[chosen] -= total
        return chosen
