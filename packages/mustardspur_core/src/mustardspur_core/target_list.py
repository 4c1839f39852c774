"""A list of targets with revisions that name its content."""

from collections import deque
from itertools import dropwhile
from typing import Final

import msgpack
import xxhash

from mustardspur_core.conversion import encode_array
from mustardspur_core.messages import TargetUpdate
from mustardspur_core.state import Target

MAX_JOURNAL_STEPS: Final = 1024
# Marks the revision of a list that may miss targets, so that no instance
# takes it for the content of a complete list.
PARTIAL_MARK: Final = '~'
_DIGEST_MASK: Final = 0xFFFFFFFFFFFFFFFF


class BadTargets(ValueError):
    """An update does not lead from the held targets to its revision."""


class TargetList:
    """Targets by identifier, with deltas between revisions.

    Explanation
    ===========

    A revision is a digest of the content. Control instances that hold the
    same targets give out the same revision, so that a node that changes from
    one to another is sent nothing it already has.

    Parameters
    ----------
    name : str
        Name of the service, for updates.
    """

    __slots__ = ('_digest', '_journal', 'name', 'targets_by_id')

    def __init__(self, name: str) -> None:
        """Start empty."""
        self.name = name
        self.targets_by_id: dict[str, Target] = {}
        self._digest = 0
        self._journal: deque[tuple[str, str]] = deque(maxlen=MAX_JOURNAL_STEPS)

    @property
    def revision(self) -> str:
        """Digest of the content; equal lists have equal revisions."""
        return f'{len(self.targets_by_id)}-{self._digest:x}'

    def put(self, target_id: str, target: Target | None) -> bool:
        """Set or remove a target; return whether that changed anything."""
        earlier = self.targets_by_id.get(target_id)
        if earlier == target:
            return False
        self._journal.append((self.revision, target_id))
        if earlier is not None:
            self._digest = (self._digest - _digest(earlier)) & _DIGEST_MASK
        if target is None:
            self.targets_by_id.pop(target_id)
            return True
        self._digest = (self._digest + _digest(target)) & _DIGEST_MASK
        self.targets_by_id[target_id] = target
        return True

    def put_or_remove(self, target_id: str, target: Target | None) -> bool:
        """Set a target if it belongs to this list, else remove it."""
        belongs = target is not None and target.service == self.name
        return self.put(target_id, target if belongs else None)

    def changed_since(self, revision: str) -> set[str] | None:
        """Return identifiers changed since a revision, None if unknown."""
        if revision == self.revision:
            return set()
        steps = list(
            dropwhile(lambda step: step[0] != revision, self._journal),
        )
        if not steps:
            return None
        return {target_id for _, target_id in steps}

    def updated(self, update: TargetUpdate) -> 'TargetList':
        """Return a new list with an update applied; this one stays.

        Raises
        ------
        BadTargets
            If the outcome differs from the update's revision, because the
            update starts from other targets.
        """
        newer = TargetList(self.name)
        if not update.full:
            newer.targets_by_id = dict(self.targets_by_id)
            newer._digest = self._digest
        for target_id in update.removals:
            newer.put(target_id, None)
        for target in update.upserts:
            newer.put(target.id, target)
        is_partial = update.revision.startswith(PARTIAL_MARK)
        if not is_partial and newer.revision != update.revision:
            raise BadTargets(f'{newer.revision}, not {update.revision}')
        return newer

    def update_from(self, revision: str) -> TargetUpdate:
        """Return the update that leads from a held revision to this one."""
        changed = self.changed_since(revision)
        touched = self.targets_by_id.keys() if changed is None else changed
        return TargetUpdate(
            service=self.name,
            revision=self.revision,
            full=changed is None,
            upserts=[
                self.targets_by_id[target_id]
                for target_id in sorted(touched)
                if target_id in self.targets_by_id
            ],
            removals=sorted(set(touched) - self.targets_by_id.keys()),
        )


def _digest(target: Target) -> int:
    row = msgpack.packb(encode_array(target), use_bin_type=True)
    return xxhash.xxh64_intdigest(row)
