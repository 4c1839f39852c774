"""What a target states about itself in the headers of its answers."""

import logging
from typing import Final

from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.answer_parser import RawAnswer
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.rate_limit import parse_rate

_LOG: Final = logging.getLogger(__name__)


class TargetStatements:
    """Applies the statements of the local target to its admission.

    Parameters
    ----------
    names : HeaderNames
        Names of the HTTP headers.
    admission : AdmissionControl
        Admission of calls to the target.
    """

    __slots__ = ('_admission', '_decisions', '_names')

    def __init__(
        self,
        names: HeaderNames,
        admission: AdmissionControl,
    ) -> None:
        """Initialise without statements."""
        self._names = names
        self._admission = admission
        # A target can state another limit in each answer.
        self._decisions = DecisionLog(_LOG)

    def apply(self, target_id: str, answer: RawAnswer, sent_s: float) -> None:
        """Apply what an answer states.

        Parameters
        ----------
        target_id : str
            Identifier of the target, for the log.
        answer : RawAnswer
            Any answer of the target, also to a health check.
        sent_s : float
            Time on the event loop's clock at which the request was sent.
        """
        stated = answer.header(self._names.rate_limit)
        try:
            per_s = None if stated is None else parse_rate(stated)
        except ValueError as error:
            self._decisions.write(
                'rate limit of the target cannot be read',
                target=target_id,
                reason=str(error),
            )
            return
        before_per_s = self._admission.capacity.rate_limit.per_s
        if self._admission.apply_rate_limit(per_s, sent_s):
            self._decisions.write(
                'rate limit of the target changed',
                target=target_id,
                limit_per_s=per_s,
                before_per_s=before_per_s,
                admitted=self._admission.capacity.started,
            )
