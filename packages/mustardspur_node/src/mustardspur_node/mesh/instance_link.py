"""Network link of the node's instance."""

import logging
from typing import Final

from mustardspur_core.metrics import Metrics

from mustardspur_node.mesh.incoming_bodies import IncomingBodies
from mustardspur_node.mesh.link_admission import LinkAdmission
from mustardspur_node.mesh.link_rate import BYTES_PER_MBIT
from mustardspur_node.mesh.node_bodies import NodeBodies
from mustardspur_node.mesh.outgoing_bodies import Uplink

_LOG: Final = logging.getLogger(__name__)

# Fraction of the stated rate below which the link counts as slow.
SLOW_FRACTION: Final = 0.7


class InstanceLink:
    """Large bodies over the link of the instance, in both directions.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link; 0 for an unlimited one.

    Attributes
    ----------
    admission : LinkAdmission
        Decides which bodies are received.
    incoming : IncomingBodies
        The bodies that are being received.
    uplink : Uplink
        Paces the bodies and answers that are sent.
    bodies : NodeBodies
        The account of all bodies that the node holds.
    """

    __slots__ = (
        '_is_slow',
        'admission',
        'bodies',
        'incoming',
        'uplink',
    )

    def __init__(self, link_mbps: float) -> None:
        """Initialise without bodies."""
        self._is_slow = False
        self.bodies = NodeBodies()
        self.set_bandwidth(link_mbps)

    def set_bandwidth(self, link_mbps: float) -> None:
        """Set the bandwidth, before any body is received or sent."""
        self.admission = LinkAdmission(link_mbps, self.bodies.room)
        self.incoming = IncomingBodies(self.admission)
        self.uplink = Uplink(link_mbps, self.bodies.answers)

    def body_bytes(self, body: bytes) -> int:
        """Return the size of a large body, 0 for other bodies."""
        return len(body) if self.uplink.is_large(body) else 0

    def check(self, metrics: Metrics) -> None:
        """Set the gauges, and log if the link becomes slow or recovers."""
        self.bodies.set_gauges(metrics)
        if not self.uplink.is_limited:
            return
        admission = self.admission
        rate = admission.rate
        rate_mbps = round(rate.bytes_per_s / BYTES_PER_MBIT, 2)
        metrics.gauge('link.rate_mbps', rate_mbps)
        metrics.gauge('link.wait_ms', admission.wait_ms)
        metrics.gauge('link.bodies', len(admission))
        metrics.gauge('link.held_bytes', admission.held_bytes)
        metrics.gauge('link.carried_bytes', admission.carried_bytes)
        metrics.gauge('link.refused', admission.refused)
        is_slow = rate.bytes_per_s < SLOW_FRACTION * rate.stated_bytes_per_s
        if is_slow != self._is_slow:
            self._is_slow = is_slow
            _LOG.info(
                'link is slower than stated' if is_slow else 'link recovered',
                extra={
                    'rate_mbps': rate_mbps,
                    'wait_ms': admission.wait_ms,
                    'bodies': len(admission),
                },
            )
