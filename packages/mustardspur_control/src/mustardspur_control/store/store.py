"""The state machine of the replicated log of profiles."""

from collections.abc import Callable
from typing import Any

import msgpack
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.edits import EditAnswer
from mustardspur_core.state import Move, ServiceConfig

from mustardspur_control.store.answers import AnswerHistory, Edit
from mustardspur_control.store.entries import apply_entry
from mustardspur_control.store.moves import newest_moves
from mustardspur_control.store.planning import ACTIVE_STATES
from mustardspur_control.store.records import (
    STATE_FORMAT,
    FollowedService,
    MoveRecord,
    StoredProfile,
    StoreState,
    empty_state,
)


class Store:
    """Applied state of one control instance.

    Explanation
    ===========

    Implements `StateMachine` for the replicated log and `ConfigSource` for
    the streams to nodes. It is deterministic: the same entries give the
    same state and answers on every replica. It reads no clock, random
    number or other outside input; the time is that in the entry.

    See Also
    --------
    mustardspur_agreement.ports.StateMachine
    mustardspur_control.ports.ConfigSource
    """

    __slots__ = ('_answers', '_callbacks', '_state')

    def __init__(self) -> None:
        """Initialise an empty state without callbacks."""
        self._callbacks: list[Callable[[str], None]] = []
        self._state = empty_state()
        self._answers = AnswerHistory(self._state.answers)

    @property
    def index(self) -> int:
        """Log index of the last applied entry."""
        return self._state.index

    @property
    def profiles(self) -> dict[str, StoredProfile]:
        """Profiles by name."""
        return dict(self._state.profiles)

    @property
    def moves(self) -> dict[str, MoveRecord]:
        """Records of moves by identifier, oldest first."""
        return dict(self._state.moves)

    def apply(self, index: int, entry: bytes) -> EditAnswer:
        """Apply a committed entry.

        Parameters
        ----------
        index : int
            Log index, above that of the last applied entry.
        entry : bytes
            An edit or a step in the form of `encode_frame`.

        Returns
        -------
        EditAnswer
            The answer; for a resend, the first answer to its edit.

        Raises
        ------
        ValueError
            If the index is not above that of the last applied entry.
        """
        if index <= self._state.index:
            last = self._state.index
            raise ValueError(
                f'index {index} is not above the last applied, {last}'
            )
        outcome = apply_entry(self._state, self._answers, index, entry)
        self._state.index = index
        self._notify(outcome.services)
        return outcome.answer

    def snapshot(self) -> bytes:
        """Return the whole state as msgpack."""
        packed: bytes = msgpack.packb(encode_array(self._state))
        return packed

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the whole state by a snapshot taken at a log index.

        Raises
        ------
        ValueError
            If the snapshot is damaged, of another layout, or older than
            the applied state.
        """
        state = decode_array(StoreState, _unpacked(snapshot))
        if max(state.index, self._state.index) > index:
            raise ValueError(f'snapshot at {index} is older than the state')
        before = self._state.services
        state.index = index
        self._state = state
        self._answers = AnswerHistory(state.answers)
        self._notify(
            [
                name
                for name, followed in state.services.items()
                if followed != before.get(name)
            ],
        )

    def config(self, service: str) -> ServiceConfig | None:
        """Return the newest configuration of a service, None if unknown."""
        followed = self._state.services.get(service)
        if followed is None:
            return None
        stored = self._state.profiles[followed.profile]
        return ServiceConfig(
            service=service,
            index=followed.index,
            number=stored.number,
            profile=stored.profile,
            moves=newest_moves(self._state, followed),
        )

    def services(self) -> list[str]:
        """Return the sorted names of the services that follow a profile."""
        return sorted(self._state.services)

    def followed(self, service: str) -> FollowedService | None:
        """Return the profile and moves of a service, None if it is unknown."""
        return self._state.services.get(service)

    def running_moves(self) -> list[Move]:
        """Return the moves that are running or paused."""
        return [
            record.move
            for record in self._state.moves.values()
            if record.move.state in ACTIVE_STATES
        ]

    def first_answer(self, edit: Edit) -> EditAnswer | None:
        """Return the first answer to an edit, None if the edit is new.

        Raises
        ------
        EditIdReused
            If the identifier belongs to an edit with other content.
        """
        return self._answers.first_answer(edit)

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of each service that changes."""
        self._callbacks.append(callback)

    def _notify(self, services: list[str]) -> None:
        for service in services:
            for callback in self._callbacks:
                callback(service)


def _unpacked(snapshot: bytes) -> Any:
    try:
        fields = msgpack.unpackb(snapshot, raw=False)
    # msgpack raises unrelated types of exceptions on damaged input.
    except (ValueError, TypeError, RecursionError) as error:
        raise ValueError('snapshot is not valid msgpack') from error
    if not isinstance(fields, list) or fields[:1] != [STATE_FORMAT]:
        raise ValueError(
            f'snapshot does not have layout version {STATE_FORMAT}'
        )
    return fields
