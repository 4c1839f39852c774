"""All bodies of calls and answers that a node holds."""

from mustardspur_core.held_bytes import HeldBytes
from mustardspur_core.metrics import Metrics
from mustardspur_core.resident_memory import peak_resident_bytes

from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.body_room import BodyRoom
from mustardspur_node.mesh.caller_uploads import CallerUploads


class NodeBodies:
    """The account of all bodies, and those who take room of it.

    Attributes
    ----------
    room : BodyRoom
        Bytes of all bodies that the node holds.
    held : HeldBytes
        What else the node holds for its callers.
    answers : AnswerBudget
        Limit on the bytes of answers.
    uploads : CallerUploads
        Reads the bodies of callers.
    """

    __slots__ = ('answers', 'held', 'room', 'uploads')

    def __init__(self) -> None:
        """Initialise without bodies."""
        self.room = BodyRoom()
        self.held = HeldBytes()
        self.answers = AnswerBudget(room=self.room)
        # Answers that callers do not read would keep out all others.
        self.answers.on_full = self.held.close_stalled
        self.uploads = CallerUploads(self.room)

    def resize(self, memory_mb: float) -> None:
        """Set the memory of the process, before anything is held."""
        self.room.resize(memory_mb)
        self.held.resize(memory_mb)
        self.answers.resize(memory_mb)

    def set_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of the room and of the bodies that wait for it."""
        admission = self.uploads.admission
        metrics.gauge('bodies.held_bytes', self.room.held_bytes)
        metrics.gauge('bodies.limit_bytes', self.room.limit_bytes)
        metrics.gauge('answers.held_bytes', self.answers.held_bytes)
        metrics.gauge('answers.limit_bytes', self.answers.limit_bytes)
        metrics.gauge('bodies.waiting', admission.waiting)
        metrics.gauge('bodies.refused', admission.refused)
        metrics.gauge('bodies.stalled', admission.stalled)
        metrics.gauge('callers.held_bytes', self.held.held_bytes)
        metrics.gauge('callers.held_limit_bytes', self.held.limit_bytes)
        metrics.gauge('callers.stalled', self.held.closed)
        metrics.gauge('process.peak_bytes', peak_resident_bytes())
