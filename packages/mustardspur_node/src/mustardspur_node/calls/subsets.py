"""Bounded subset of a level's targets for each node."""

from typing import Final, TypeVar

import xxhash

_MemberT = TypeVar('_MemberT')
SUBSET_SIZE: Final = 20
_HASHES: Final = 4_294_967_296  # of 32 bits


class NodePosition:
    """Place of a node among the nodes that choose beside it.

    Parameters
    ----------
    rank : int
        Place of the node in the order of identifiers.
    count : int
        Number of nodes.
    """

    __slots__ = ('count', 'rank')

    def __init__(self, rank: int, count: int) -> None:
        """Keep the place."""
        self.rank = rank
        self.count = count


def position_of(node: str, nodes: list[str]) -> NodePosition:
    """Return a node's position among the known nodes of its service.

    A node that does not know itself yet takes a place by hash, which is
    even only on average.
    """
    if node in nodes:
        return NodePosition(sorted(nodes).index(node), len(nodes))
    return NodePosition(xxhash.xxh32_intdigest(node.encode()), _HASHES)


def choose_subset(
    members: list[_MemberT],
    position: NodePosition,
    size: int = SUBSET_SIZE,
) -> list[_MemberT]:
    """Return a node's share of the members, in ring order.

    Explanation
    ===========

    The nodes' starting points divide the ring of members evenly, so that
    the numbers of nodes that choose two members differ by one at most.

    Parameters
    ----------
    members : list
        All members, in an order that every node agrees on.
    position : NodePosition
        Place of this node.
    size : int
        Members that a node uses at most.
    """
    count = len(members)
    if count <= size:
        return members
    start = position.rank * count // position.count
    return [members[(start + step) % count] for step in range(size)]
