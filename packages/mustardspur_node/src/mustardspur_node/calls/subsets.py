"""Deterministic subsets of the targets of a level for each node."""

from typing import Final, TypeVar

import xxhash

_MemberT = TypeVar('_MemberT')
SUBSET_SIZE: Final = 20
_HASHES: Final = 4_294_967_296  # values of a 32-bit hash


class NodePosition:
    """Position of a node among the nodes that choose subsets.

    Parameters
    ----------
    rank : int
        Index of the node in the order of identifiers, from 0.
    count : int
        Number of nodes.
    """

    __slots__ = ('count', 'rank')

    def __init__(self, rank: int, count: int) -> None:
        """Initialise from rank and number of nodes."""
        self.rank = rank
        self.count = count


def position_of(node: str, nodes: list[str]) -> NodePosition:
    """Return a node's position among the known nodes of its service.

    A node that is not among them yet gets a position by the hash of its
    identifier, which is even only on average.
    """
    if node in nodes:
        return NodePosition(sorted(nodes).index(node), len(nodes))
    return NodePosition(xxhash.xxh32_intdigest(node.encode()), _HASHES)


def choose_subset(
    members: list[_MemberT],
    position: NodePosition,
    size: int = SUBSET_SIZE,
) -> list[_MemberT]:
    """Return the subset of the members for a node, in ring order.

    Explanation
    ===========

    The starting points of the nodes divide the ring of members evenly, so
    that the numbers of nodes that choose any two members differ by at most
    one.

    Parameters
    ----------
    members : list
        All members, in the same order on every node.
    position : NodePosition
        Position of this node.
    size : int
        Maximum number of members that a node uses.
    """
    count = len(members)
    if count <= size:
        return members
    start = position.rank * count // position.count
    return [members[(start + step) % count] for step in range(size)]
