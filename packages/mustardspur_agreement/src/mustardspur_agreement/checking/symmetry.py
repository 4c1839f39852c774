"""Canonical form of states that differ only in the names of instances."""

from itertools import chain, permutations, product
from typing import NamedTuple

import msgpack
import xxhash

from mustardspur_agreement.checking.caching import step
from mustardspur_agreement.checking.model import (
    NAMES,
    Committed,
    Instance,
    Late,
    Log,
    Match,
    Round,
    Setup,
    State,
)


class Renaming(NamedTuple):
    """New names of the instances.

    Attributes
    ----------
    names : str
        New name of each instance, in the order of the old names.
    order : tuple of int
        Old positions in the order of the new names.
    """

    names: str
    order: tuple[int, ...]

    def name(self, name: str) -> str:
        """Return the new name of an instance; no name stays as it is."""
        return self.names[NAMES.index(name)] if name else ''

    def sorted(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return the new names of instances, sorted."""
        return tuple(sorted(self.name(name) for name in names))


def key_of(state: State, setup: Setup) -> int:
    """Return a hash that is equal for states that differ only in names."""
    return xxhash.xxh3_64_intdigest(canonical(state, setup))


def canonical(state: State, setup: Setup) -> bytes:
    """Return the least form of a state over the names that may be swapped.

    Instances are sorted by their own state, seeds first. Only those with
    equal states are tried in all orders.
    """
    forms = [
        (position >= setup.seeds, _own_state(one))
        for position, one in enumerate(state.instances)
    ]
    distinct = sorted(set(forms))
    ranks = tuple(distinct.index(form) for form in forms)
    return min(_packed(state, renaming) for renaming in _renamings(ranks))


@step
def _renamings(ranks: tuple[int, ...]) -> list[Renaming]:
    """Return the renamings that sort the instances by rank."""
    positions_by_rank: dict[int, list[int]] = {}
    for position, rank in enumerate(ranks):
        positions_by_rank.setdefault(rank, []).append(position)
    groups = [
        permutations(group) for _, group in sorted(positions_by_rank.items())
    ]
    return [_renaming(tuple(chain(*choice))) for choice in product(*groups)]


def _renaming(order: tuple[int, ...]) -> Renaming:
    names = (NAMES[order.index(old)] for old in range(len(order)))
    return Renaming(''.join(names), order)


@step
def _own_state(one: Instance) -> bytes:
    """Return the state of an instance without the names of others."""
    items = [
        (item.term, len(item.voters), one.name in item.voters)
        for item in one.log
    ]
    matches = sorted((match.last, match.trusted) for match in one.matches)
    form = (
        (one.term, bool(one.voted_for), one.voted_for == one.name, one.trusted),
        (items, one.commit, len(one.first)),
        (one.role, len(one.votes), len(one.stood_with), one.is_unanimous),
        (matches, one.barrier is None),
        (one.answer, one.unanimous_term),
    )
    packed: bytes = msgpack.packb(form)
    return packed


def _packed(state: State, renaming: Renaming) -> bytes:
    parts = [
        _renamed(state.instances[position], renaming)
        for position in renaming.order
    ]
    parts.append(_shared(state.committed, state.leaders, state.late, renaming))
    parts.append(bytes((*state.budget, state.acked, state.has_formed)))
    # A read is wrong although it leaves the same state as a right one.
    parts.append(' '.join(sorted(state.broken)).encode())
    return b''.join(parts)


@step
def _renamed(one: Instance, renaming: Renaming) -> bytes:
    form = one._replace(
        name='',
        voted_for=renaming.name(one.voted_for),
        log=_renamed_log(one.log, renaming),
        first=renaming.sorted(one.first),
        votes=renaming.sorted(one.votes),
        stood_with=_renamed_log(one.stood_with, renaming),
        matches=tuple(
            sorted(_renamed_match(match, renaming) for match in one.matches)
        ),
        barrier=one.barrier and _renamed_round(one.barrier, renaming),
    )
    packed: bytes = msgpack.packb(form)
    return packed


@step
def _shared(
    committed: tuple[Committed, ...],
    leaders: tuple[tuple[int, str], ...],
    late: frozenset[Late],
    renaming: Renaming,
) -> bytes:
    log = tuple(entry.item for entry in committed)
    form = (
        _renamed_log(log, renaming),
        [entry.by_term for entry in committed],
        sorted((term, renaming.name(name)) for term, name in leaders),
        sorted(_renamed_late(request, renaming) for request in late),
    )
    packed: bytes = msgpack.packb(form)
    return packed


def _renamed_log(log: Log, renaming: Renaming) -> Log:
    return tuple(
        item._replace(voters=renaming.sorted(item.voters)) for item in log
    )


def _renamed_match(match: Match, renaming: Renaming) -> Match:
    return match._replace(peer=renaming.name(match.peer))


def _renamed_round(barrier: Round, renaming: Renaming) -> Round:
    return barrier._replace(
        requester=renaming.name(barrier.requester),
        acked=renaming.sorted(barrier.acked),
    )


def _renamed_late(request: Late, renaming: Renaming) -> Late:
    return request._replace(
        sender=renaming.name(request.sender),
        log=_renamed_log(request.log, renaming),
    )
