"""Claims of holders to target identifiers and addresses."""

from collections import defaultdict

from mustardspur_core.state import Target


class Claims:
    """All targets that holders announce, and the valid one among conflicts.

    Explanation
    ===========

    A holder is a node of this control instance, or another control instance.
    Of several targets with the same identifier or the same address, the one
    with the highest incarnation is valid. A tie goes to the lower node or
    identifier, so that all control instances make the same choice.
    """

    __slots__ = ('_claims_by_id', '_ids_by_address')

    def __init__(self) -> None:
        """Initialise without claims."""
        self._claims_by_id: dict[str, dict[str, Target]] = defaultdict(dict)
        self._ids_by_address: dict[str, set[str]] = defaultdict(set)

    def put(self, holder: str, target_id: str, target: Target | None) -> None:
        """Set a holder's claim to an identifier, or remove it if None."""
        earlier = self._claims_by_id[target_id].pop(holder, None)
        if target is not None:
            self._claims_by_id[target_id][holder] = target
            self._ids_by_address[target.address].add(target_id)
        if earlier is not None:
            self._remove_address(earlier.address, target_id)
        if not self._claims_by_id[target_id]:
            self._claims_by_id.pop(target_id)

    def claimed_by_other(self, target: Target) -> Target | None:
        """Return the preferred target of the identifier on other nodes."""
        others = [
            other
            for other in self._claims_by_id.get(target.id, {}).values()
            if other.node != target.node
        ]
        return max(others, key=_rank, default=None)

    def ids_at(self, *addresses: str) -> set[str]:
        """Return the identifiers that have a claim to one of the addresses."""
        return {
            target_id
            for address in addresses
            for target_id in self._ids_by_address.get(address, ())
        }

    def valid_target(self, target_id: str) -> Target | None:
        """Return the valid target of an identifier, None if there is none."""
        target = self._preferred(target_id)
        if target is None:
            return None
        conflicting = [
            other
            for other in map(
                self._preferred, self._ids_by_address[target.address]
            )
            if other is not None and other.address == target.address
        ]
        preferred = max(conflicting, key=_address_rank)
        return target if preferred.id == target.id else None

    def _preferred(self, target_id: str) -> Target | None:
        claims = self._claims_by_id.get(target_id, {}).values()
        return max(claims, key=_rank, default=None)

    def _remove_address(self, address: str, target_id: str) -> None:
        claims = self._claims_by_id[target_id].values()
        if any(claim.address == address for claim in claims):
            return
        self._ids_by_address[address].discard(target_id)
        if not self._ids_by_address[address]:
            self._ids_by_address.pop(address)


def _rank(target: Target) -> tuple[int, tuple[int, ...]]:
    return target.incarnation, _reversed_order(target.node)


def _address_rank(target: Target) -> tuple[int, tuple[int, ...]]:
    return target.incarnation, _reversed_order(target.id)


def _reversed_order(text: str) -> tuple[int, ...]:
    return (*(-ord(letter) for letter in text), 0)
