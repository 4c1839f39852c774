"""Voters of the log and their quorums."""

from collections import Counter
from collections.abc import Iterable

import msgpack
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.settings import Peer, Settings

from mustardspur_agreement.entries import Entry, EntryKind, pack
from mustardspur_agreement.entry_list import EntryList


def pack_voters(voters: list[Peer]) -> bytes:
    """Return the content of a membership entry."""
    return pack(encode_array(voters))


def unpack_voters(content: bytes) -> list[Peer]:
    """Return the voters from the content of a membership entry."""
    rows = msgpack.unpackb(content)
    return [decode_array(Peer, row) for row in rows]


class Membership:
    """Voters by identifier, with quorums over them.

    Parameters
    ----------
    voters : list of Peer
        The voters.
    """

    __slots__ = ('voters_by_id',)

    def __init__(self, voters: Iterable[Peer]) -> None:
        """Index the voters."""
        self.voters_by_id = {peer.id: peer for peer in voters}

    @property
    def quorum(self) -> int:
        """Smallest number of voters that is a majority."""
        return len(self.voters_by_id) // 2 + 1

    def is_quorum(self, instances: Iterable[str]) -> bool:
        """Whether instances include a majority of the voters."""
        return len(self.voters_by_id.keys() & set(instances)) >= self.quorum

    def quorum_index(self, index_by_id: dict[str, int]) -> int:
        """Return the highest index that a quorum has reached."""
        if not self.voters_by_id:
            return 0
        indexes = [index_by_id.get(name, 0) for name in self.voters_by_id]
        return sorted(indexes, reverse=True)[self.quorum - 1]

    def recorded_ids(self) -> set[str]:
        """Return the voters whose data centre is recorded.

        The seeds of a mesh are recorded without it at first; the leader adds
        it once the voter remembers what it acknowledged.
        """
        return {
            name for name, peer in self.voters_by_id.items() if peer.data_centre
        }

    def preferred_region(self) -> str:
        """Return the region with most voters; ties go to the first by name.

        Empty if the region of any voter is unknown.
        """
        counts = Counter(peer.region for peer in self.voters_by_id.values())
        if '' in counts:
            return ''
        return min(counts, key=lambda region: (-counts[region], region))


def bootstrap_voters(settings: Settings) -> list[Peer]:
    """Return the initial voters of a new log."""
    return [peer for peer in settings.peers if peer.voter]


def voters_at(
    entries: EntryList,
    index: int,
    settings: Settings,
) -> Membership:
    """Return the voters as of an index, committed or not."""
    stored = stored_voters(entries, index)
    return stored or Membership(bootstrap_voters(settings))


def stored_voters(entries: EntryList, index: int) -> Membership | None:
    """Return the voters in the log as of an index, None if it has none."""
    for entry in reversed(entries.between(entries.first_index, index)):
        if _is_voters_entry(entry):
            return Membership(unpack_voters(entry.content))
    if entries.snapshot:
        return Membership(entries.snapshot.voters)
    return None


def has_first_voters(entries: EntryList) -> bool:
    """Whether the log has no snapshot and no change of the first voters."""
    if entries.snapshot:
        return False
    log = entries.between(entries.first_index, entries.last_index)
    return not any(_is_voters_entry(entry) for entry in log)


def _is_voters_entry(entry: Entry) -> bool:
    return entry.kind == EntryKind.VOTERS
