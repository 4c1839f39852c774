"""Links to the nodes that calls are sent to."""

from mustardspur_core.settings import Settings

from mustardspur_node.mesh.outgoing_bodies import Uplink
from mustardspur_node.mesh.peer_connection import LoadCallback
from mustardspur_node.mesh.peer_link import PeerCallLink


class PeerLinks:
    """Links to other nodes, opened at the first call and closed when unused.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    on_load : callable
        Called with the node and the load of its target on each report.
    uplink : Uplink
        Paces large bodies.

    Attributes
    ----------
    keeps_waits : bool
        Whether calls that may have run wait for the answers of nodes that are
        silent, also those that may run again elsewhere.
    """

    __slots__ = (
        '_by_node',
        '_on_load',
        '_settings',
        '_uplink',
        'keeps_waits',
    )

    def __init__(
        self,
        settings: Settings,
        on_load: LoadCallback,
        uplink: Uplink,
    ) -> None:
        """Initialise without links."""
        self._settings = settings
        self._on_load = on_load
        self._uplink = uplink
        self._by_node: dict[str, PeerCallLink] = {}
        self.keeps_waits = False

    def link_to(self, node: str) -> PeerCallLink:
        """Return the link to a node."""
        link = self._by_node.get(node)
        if link is None:
            link = PeerCallLink(
                node,
                self._settings,
                self._on_load,
                self._uplink,
            )
            self._by_node[node] = link
        return link

    def check(self) -> None:
        """Close streams to other nodes that are silent or unused."""
        for link in self._by_node.values():
            link.check(keeps_waits=self.keeps_waits)
        unused = [
            name for name, each in self._by_node.items() if each.is_unused
        ]
        while unused:
            self._by_node.pop(unused.pop())

    def restart_silences(self) -> None:
        """Count the silence of all nodes from now on.

        A node that does not run reads no frames, and its first check is run
        before it reads those that have arrived.
        """
        for link in self._by_node.values():
            link.restart_silence()

    def close(self) -> None:
        """Close all streams to other nodes."""
        for link in self._by_node.values():
            link.close()
