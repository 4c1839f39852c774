"""A list of targets with content-based revisions and deltas."""

from collections import deque
from itertools import dropwhile
from typing import Final

import msgpack
import xxhash

from mustardspur_core.conversion import encode_array
from mustardspur_core.messages import TargetUpdate
from mustardspur_core.state import Target

MAX_LOGGED_CHANGES: Final = 1024
# Prefix of the revision of a list that may lack targets, so that it is never
# equal to the revision of a complete list.
PARTIAL_PREFIX: Final = '~'
_DIGEST_MASK: Final = 0xFFFFFFFFFFFFFFFF


class BadTargets(ValueError):
    """An update applied to the current targets gives another revision."""


class TargetList:
    """Targets of a service by identifier, with deltas between revisions.

    Explanation
    ===========

    A revision is a digest of the content. Control instances with the same
    targets issue the same revision, so that a node that connects to another
    control instance does not receive targets that it already has.

    Parameters
    ----------
    name : str
        Name of the service.
    """

    __slots__ = ('_change_log', '_digest', 'name', 'targets_by_id')

    def __init__(self, name: str) -> None:
        """Initialise an empty list."""
        self.name = name
        self.targets_by_id: dict[str, Target] = {}
        self._digest = 0
        self._change_log: deque[tuple[str, str]] = deque(
            maxlen=MAX_LOGGED_CHANGES
        )

    @property
    def revision(self) -> str:
        """Digest of the content; equal lists have equal revisions."""
        return f'{len(self.targets_by_id)}-{self._digest:x}'

    def put(self, target_id: str, target: Target | None) -> bool:
        """Set or remove a target; return whether the list changed."""
        earlier = self.targets_by_id.get(target_id)
        if earlier == target:
            return False
        self._change_log.append((self.revision, target_id))
        if earlier is not None:
            self._digest = (self._digest - _digest(earlier)) & _DIGEST_MASK
        if target is None:
            self.targets_by_id.pop(target_id)
            return True
        self._digest = (self._digest + _digest(target)) & _DIGEST_MASK
        self.targets_by_id[target_id] = target
        return True

    def put_or_remove(self, target_id: str, target: Target | None) -> bool:
        """Set a target of this service, or remove it if it is of another.

        Parameters
        ----------
        target_id : str
            Identifier of the target.
        target : Target or None
            The target; None removes it.

        Returns
        -------
        bool
            Whether the list changed.
        """
        is_member = target is not None and target.service == self.name
        return self.put(target_id, target if is_member else None)

    def changed_since(self, revision: str) -> set[str] | None:
        """Return the identifiers of targets changed since a revision.

        Returns
        -------
        set of str or None
            None if the change log does not reach back to the revision.
        """
        if revision == self.revision:
            return set()
        changes = list(
            dropwhile(lambda change: change[0] != revision, self._change_log),
        )
        if not changes:
            return None
        return {target_id for _, target_id in changes}

    def updated(self, update: TargetUpdate) -> 'TargetList':
        """Return a new list with an update applied.

        Raises
        ------
        BadTargets
            If the revision of the result is not that of the update, because
            the update was made for another list.
        """
        newer = TargetList(self.name)
        if not update.full:
            newer.targets_by_id = dict(self.targets_by_id)
            newer._digest = self._digest
        for target_id in update.removals:
            newer.put(target_id, None)
        for target in update.upserts:
            newer.put(target.id, target)
        is_partial = update.revision.startswith(PARTIAL_PREFIX)
        if not is_partial and newer.revision != update.revision:
            raise BadTargets(
                f'expected revision {update.revision}, found {newer.revision}',
            )
        return newer

    def update_from(self, revision: str) -> TargetUpdate:
        """Return the update from a given revision to the current one.

        The update is a full list if the given revision is unknown.
        """
        changed_ids = self.changed_since(revision)
        listed_ids = (
            self.targets_by_id.keys() if changed_ids is None else changed_ids
        )
        return TargetUpdate(
            service=self.name,
            revision=self.revision,
            full=changed_ids is None,
            upserts=[
                self.targets_by_id[target_id]
                for target_id in sorted(listed_ids)
                if target_id in self.targets_by_id
            ],
            removals=sorted(set(listed_ids) - self.targets_by_id.keys()),
        )


def _digest(target: Target) -> int:
    packed = msgpack.packb(encode_array(target), use_bin_type=True)
    return xxhash.xxh64_intdigest(packed)
