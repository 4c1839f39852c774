"""Reads the bodies of callers as far as the node has room for them."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_node.mesh.body_buffer import BodyBuffer
from mustardspur_node.mesh.body_room import SMALL_BODY_BYTES, BodyRoom
from mustardspur_node.mesh.request_body import CallerBodyError, RequestBody
from mustardspur_node.mesh.upload import Upload
from mustardspur_node.mesh.upload_admission import (
    GROWTH_BYTES,
    NoRoom,
    UploadAdmission,
)
from mustardspur_node.mesh.upload_refusals import (
    UploadRefusals,
    UploadTerms,
    late_body,
)

# Interval between two checks while large bodies are held.
CHECK_INTERVAL_S: Final = 0.1
# A longer time between two checks does not count as a stall, since a node that
# does not run reads nothing.
MAX_INTERVAL_S: Final = 0.3


class CallerUploads:
    """Reads the bodies of all callers of a node.

    Parameters
    ----------
    room : BodyRoom
        Bytes of all bodies that the node holds.
    """

    __slots__ = (
        '_checked_s',
        '_readings',
        '_refusals',
        '_room',
        '_update_due',
        'admission',
    )

    def __init__(self, room: BodyRoom) -> None:
        """Initialise without bodies."""
        self._room = room
        self.admission = UploadAdmission(room)
        self._refusals = UploadRefusals(room, self.admission)
        # Readings of large bodies.
        self._readings: dict[Upload, _LargeReading] = {}
        self._update_due: asyncio.Handle | None = None
        # Time of the latest check.
        self._checked_s: float = 0
        room.on_freed = self._update_soon

    async def read(self, body: RequestBody, terms: UploadTerms) -> bytes:
        """Return a whole body, which is counted until `end_read` of it.

        Raises
        ------
        CallerBodyError
            If the body is malformed, too long or too slow, or its room would
            not be free in time.
        """
        try:
            async with asyncio.timeout_at(terms.deadline_s):
                return await self._read(body, terms)
        except TimeoutError as error:
            raise late_body() from error

    async def take(self, reading: '_LargeReading') -> None:
        """Wait until a reading has the room that it wants.

        Raises
        ------
        CallerBodyError
            If the room would not be free in time.
        """
        upload = reading.upload
        # A part may have been received just before its reading was ended.
        if reading.error is not None and reading.body.is_incomplete:
            raise reading.error
        if upload not in self._readings:
            try:
                self.admission.open(upload, _now())
            except NoRoom as error:
                raise self._refusals.no_room(
                    reading.terms, upload.wanted, str(error)
                ) from error
            self._readings[upload] = reading
        reading.admitted = asyncio.Future()
        self._update()
        await reading.admitted

    def close(self, reading: '_LargeReading') -> None:
        """Release the room of a reading, or end its wait."""
        self._readings.pop(reading.upload, None)
        self.admission.close(reading.upload, _now())

    async def _read(self, body: RequestBody, terms: UploadTerms) -> bytes:
        body.check_stated()
        stated = body.stated_bytes
        small = SMALL_BODY_BYTES if stated is None else stated
        if small > SMALL_BODY_BYTES:
            return await self._read_large(body, terms, 0, small)
        if not self._room.fits(small):
            raise self._refusals.no_room(terms, small, 'small bodies')
        self._room.hold(small)
        body.on_read_end = lambda: self._room.release(small)
        if stated is None:
            return await self._read_large(body, terms, small, GROWTH_BYTES)
        return await body()

    async def _read_large(
        self,
        body: RequestBody,
        terms: UploadTerms,
        allowed: int,
        step: int,
    ) -> bytes:
        """Return a body that may hold a number of bytes without waiting."""
        upload = Upload(step, terms.priority, terms.deadline_s, _now())
        reading = _LargeReading(upload, body, terms)
        end_small = body.on_read_end
        body.on_read_end = lambda: self._end(reading, end_small)
        if not allowed:
            await self.take(reading)
        buffer = BodyBuffer(0 if allowed else step)
        with buffer.emptied():
            async for part in body.parts():
                upload.receive(len(part), _now())
                while buffer.size + len(part) > allowed + upload.held:
                    upload.wanted = step
                    await self.take(reading)
                buffer.add(part)
            upload.is_complete = True
            return buffer.take()

    def _end(
        self,
        reading: '_LargeReading',
        end_small: Callable[[], None] | None,
    ) -> None:
        self.close(reading)
        if end_small is not None:
            end_small()

    def _update_soon(self) -> None:
        """Decide again, since bytes were released."""
        if self.admission.waiting:
            loop = asyncio.get_running_loop()
            self._schedule(loop.call_soon(self._update))

    def _update(self) -> None:
        """Apply the decisions that are due, and set the timer."""
        now_s = _now()
        if now_s - self._checked_s > MAX_INTERVAL_S:
            self.admission.excuse(now_s - self._checked_s, now_s)
        self._checked_s = now_s
        for stalled in self.admission.stalled_uploads(now_s):
            self._end_stalled(self._readings[stalled])
        self._admit(now_s)
        for late in self.admission.late_uploads(now_s):
            self._refuse(self._readings[late])
        self._admit(now_s)
        if self._readings:
            loop = asyncio.get_running_loop()
            self._schedule(
                loop.call_later(CHECK_INTERVAL_S, self._check_waiting),
            )

    def _schedule(self, update: asyncio.Handle) -> None:
        """Set the next update in place of the one that was set."""
        if self._update_due is not None:
            self._update_due.cancel()
        self._update_due = update

    def _admit(self, now_s: float) -> None:
        admitted = self.admission.next_admitted(now_s)
        while admitted is not None:
            _set_admitted(self._readings[admitted].admitted)
            admitted = self.admission.next_admitted(now_s)

    def _check_waiting(self) -> None:
        """Close the connections of callers that left, and decide again."""
        for reading in list(self._readings.values()):
            if reading.upload.wanted:
                reading.body.abort_if_left()
        self._update()

    def _end_stalled(self, reading: '_LargeReading') -> None:
        error = self._refusals.stalled(reading.terms, reading.upload.held)
        self.close(reading)
        reading.error = error
        reading.body.fail(error)

    def _refuse(self, reading: '_LargeReading') -> None:
        upload = reading.upload
        error = self._refusals.no_room(
            reading.terms,
            upload.wanted,
            'its turn came too late',
        )
        self.close(reading)
        if not reading.admitted.done():
            reading.admitted.set_exception(error)


class _LargeReading:
    """A large body that is being read."""

    __slots__ = ('admitted', 'body', 'error', 'terms', 'upload')

    def __init__(
        self,
        upload: Upload,
        body: RequestBody,
        terms: UploadTerms,
    ) -> None:
        """Initialise without room."""
        self.upload = upload
        self.body = body
        self.terms = terms
        # Why its room was taken back.
        self.error: CallerBodyError | None = None
        self.admitted: asyncio.Future[None] = asyncio.Future()


def _set_admitted(admitted: 'asyncio.Future[None]') -> None:
    if not admitted.done():
        admitted.set_result(None)


def _now() -> float:
    return asyncio.get_running_loop().time()
