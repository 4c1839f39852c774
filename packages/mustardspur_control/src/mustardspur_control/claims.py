"""Claims to target identifiers and addresses, and who holds them."""

from collections import defaultdict

from mustardspur_core.state import Target


class Claims:
    """Every target that some holder announces, and which ones count.

    Explanation
    ===========

    A holder is a node of this control instance, or another control instance.
    Of several targets with one identifier the highest incarnation counts, of
    several with one address as well; ties go to the lower node or
    identifier, so that all control instances come to the same choice.
    """

    __slots__ = ('_by_id', '_ids_by_address')

    def __init__(self) -> None:
        """Start without claims."""
        self._by_id: dict[str, dict[str, Target]] = defaultdict(dict)
        self._ids_by_address: dict[str, set[str]] = defaultdict(set)

    def put(self, holder: str, target_id: str, target: Target | None) -> None:
        """Set or withdraw a holder's claim to an identifier."""
        earlier = self._by_id[target_id].pop(holder, None)
        if target is not None:
            self._by_id[target_id][holder] = target
            self._ids_by_address[target.address].add(target_id)
        if earlier is not None:
            self._forget_address(earlier.address, target_id)
        if not self._by_id[target_id]:
            self._by_id.pop(target_id)

    def claimed_by_other(self, target: Target) -> Target | None:
        """Return the same identifier's target on another node, if any."""
        others = [
            other
            for other in self._by_id.get(target.id, {}).values()
            if other.node != target.node
        ]
        return max(others, key=_rank, default=None)

    def sharing(self, *addresses: str) -> set[str]:
        """Return the identifiers that claim one of some addresses."""
        return {
            target_id
            for address in addresses
            for target_id in self._ids_by_address.get(address, ())
        }

    def chosen(self, target_id: str) -> Target | None:
        """Return the target that counts for an identifier, if any."""
        target = self._best(target_id)
        if target is None:
            return None
        rivals = [
            rival
            for rival in map(self._best, self._ids_by_address[target.address])
            if rival is not None and rival.address == target.address
        ]
        winner = max(rivals, key=_address_rank)
        return target if winner.id == target.id else None

    def _best(self, target_id: str) -> Target | None:
        claims = self._by_id.get(target_id, {}).values()
        return max(claims, key=_rank, default=None)

    def _forget_address(self, address: str, target_id: str) -> None:
        claims = self._by_id[target_id].values()
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
