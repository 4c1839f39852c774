"""Tests that play bursts of uploads at a node, without a network."""

from typing import Final

import pytest
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_node.mesh.body_room import BodyRoom
from mustardspur_node.mesh.upload import STALL_BYTES, STALL_S, Upload
from mustardspur_node.mesh.upload_admission import NoRoom, UploadAdmission

_BODY: Final = 30_000_000
# The largest body that callers may send.
_LARGEST: Final = 67_108_864
_STEP_S: Final = 0.05


class _Play:
    """Uploads that send a body at a steady rate, and then run."""

    def __init__(self, *, send_s: float = 2.0, run_s: float = 0.3) -> None:
        self.room = BodyRoom(300)
        self.admission = UploadAdmission(self.room)
        self.hold_s = send_s + run_s
        self.now_s: float = 0
        self.peak_bytes = 0
        self.finished: list[Upload] = []
        self.active: list[Upload] = []
        # Time that was left to each refused body.
        self.refused_left_s: list[float] = []

    def open(self, size: int = _BODY, time_s: float = 6.0) -> Upload | None:
        """Let a caller send a body with a time limit."""
        upload = Upload(size, 1, self.now_s + time_s, self.now_s)
        try:
            self.admission.open(upload, self.now_s)
        except NoRoom:
            self.refused_left_s.append(time_s)
            return None
        return upload

    def run(self, until_s: float) -> None:
        """Play until a time."""
        while self.now_s < until_s:
            self._admit()
            for late in self.admission.late_uploads(self.now_s):
                self.refused_left_s.append(late.deadline_s - self.now_s)
                self.admission.close(late, self.now_s)
            for upload in list(self.active):
                self._continue(upload)
            self.now_s += _STEP_S

    def _admit(self) -> None:
        admitted = self.admission.next_admitted(self.now_s)
        while admitted is not None:
            self.active.append(admitted)
            self.peak_bytes = max(self.peak_bytes, self.room.held_bytes)
            admitted = self.admission.next_admitted(self.now_s)

    def _continue(self, upload: Upload) -> None:
        upload.receive(_BODY, self.now_s)
        if self.now_s - upload.started_s >= self.hold_s:
            upload.is_complete = True
            self.finished.append(upload)
            self.active.remove(upload)
            self.admission.close(upload, self.now_s)


@pytest.mark.parametrize('count', [6, 10, 40, 200])
def test_burst_stays_within_the_room(count: int) -> None:
    """Guards against bodies that together exceed the memory of a node, and
    against a room that is not used or that shrinks with each burst.
    """
    play = _Play()
    for _ in range(count):
        play.open()
    play.run(8)
    assert play.peak_bytes <= play.room.limit_bytes
    assert len(play.finished) >= 6
    assert len(play.finished) + len(play.refused_left_s) == count
    assert play.room.held_bytes == 0


def test_bodies_without_time_are_refused_at_once() -> None:
    """Guards against callers that wait for a refusal until their deadline."""
    play = _Play()
    play.open()
    play.run(3)
    for _ in range(40):
        play.open()
    assert play.refused_left_s.count(6.0) >= 30
    play.run(12)
    assert len(play.finished) == 41 - len(play.refused_left_s)


def test_largest_body_is_read_alone() -> None:
    """Guards against bodies over half of the room that are never read, also
    on a node with little memory.
    """
    for memory_mb in (300, 100):
        admission = UploadAdmission(BodyRoom(memory_mb))
        for _ in range(2):
            admission.open(Upload(_LARGEST, 1, 60, 0), 0)
        first = admission.next_admitted(0)
        assert first is not None
        assert first.held == _LARGEST
        assert admission.next_admitted(0) is None
        admission.close(first, 1)
        assert admission.next_admitted(1) is not None


def test_smaller_body_goes_first() -> None:
    """Guards against a short body behind long ones."""
    play = _Play()
    long_ones = [play.open() for _ in range(5)]
    play.run(_STEP_S)
    short = play.open(1_000_000)
    play.run(2.6)
    assert short is not None
    assert short.started_s < max(
        each.started_s for each in long_ones if each is not None
    )


def test_stalled_body_gives_its_room_to_waiting_ones() -> None:
    """Guards against a caller that keeps its room without sending."""
    admission = UploadAdmission(BodyRoom(300))
    stalled = Upload(_LARGEST, 1, 600, 0)
    admission.open(stalled, 0)
    assert admission.next_admitted(0) is stalled
    assert not admission.stalled_uploads(30)
    admission.open(Upload(_LARGEST, 1, 600, 30), 30)
    assert admission.next_admitted(30) is None
    # Bytes that trickle do not keep the room either.
    stalled.receive(1000, 30)
    assert admission.stalled_uploads(30) == [stalled]
    admission.close(stalled, 30)
    assert admission.next_admitted(30) is not None


def test_pause_gives_a_stalled_body_no_more_time() -> None:
    """Guards against a caller that keeps its room as long as a pause of the
    node lasted, as its bytes were read before the pause was noticed.
    """
    admission = UploadAdmission(BodyRoom(300))
    stalled = Upload(_LARGEST, 1, 600, 0)
    admission.open(stalled, 0)
    assert admission.next_admitted(0) is stalled
    stalled.receive(STALL_BYTES, 30)
    admission.excuse(30, 30)
    admission.open(Upload(_LARGEST, 1, 600, 30), 30)
    assert not admission.stalled_uploads(30 + STALL_S)
    assert admission.stalled_uploads(30.1 + STALL_S) == [stalled]


def _grow(bodies: list[Upload]) -> None:
    for body in bodies:
        body.wanted = BYTES_PER_MIB


def test_bodies_without_length_do_not_block_each_other() -> None:
    """Guards against chunked bodies that wait for each other's room."""
    room = BodyRoom(300)
    admission = UploadAdmission(room)
    bodies = [Upload(BYTES_PER_MIB, 1, 600, number) for number in range(4)]
    for opened in bodies:
        admission.open(opened, 0)
    admitted = [admission.next_admitted(0) for _ in bodies]
    assert admitted == bodies
    while not any(body.wanted for body in bodies):
        _grow(bodies)
        while admission.next_admitted(0):
            assert room.held_bytes <= room.limit_bytes
    _grow(bodies)
    newest = bodies[-1]
    assert admission.late_uploads(1) == [newest]
    admission.close(newest, 1)
    assert admission.next_admitted(1) is bodies[0]


def test_waiting_bodies_are_bounded() -> None:
    """Guards against connections without number whose buffers are full."""
    play = _Play()
    for _ in range(2000):
        play.open()
    assert play.admission.waiting < 300
    assert play.room.held_bytes < play.room.limit_bytes
