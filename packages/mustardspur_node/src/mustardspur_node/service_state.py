"""State of one service on a node."""

from mustardspur_core.messages import Applied
from mustardspur_core.state import ServiceConfig, Target, TargetState
from mustardspur_core.target_list import TargetList
from mustardspur_core.traffic_shares import known_versions, reachable_versions

from mustardspur_node.views import ServiceView


class ServiceState:
    """Newest configuration, targets and the view in force of a service.

    Explanation
    ===========

    `newest` is the last configuration that the node accepted. It comes into
    force once every version that its routes newly reach has a ready target;
    until then the earlier view remains in force.

    Parameters
    ----------
    name : str
        Name of the service.
    """

    __slots__ = (
        'candidate',
        'name',
        'newest',
        'reason',
        'revision',
        'targets',
        'view',
    )

    def __init__(self, name: str) -> None:
        """Initialise without a configuration and targets."""
        self.name = name
        self.newest: ServiceConfig | None = None
        self.candidate: ServiceConfig | None = None
        self.view: ServiceView | None = None
        self.reason = 'no configuration yet'
        self.targets = TargetList(name)
        self.revision = ''

    @property
    def index(self) -> int:
        """Highest accepted index, 0 before the first configuration."""
        return self.newest.index if self.newest else 0

    @property
    def applied(self) -> Applied:
        """Report for the control instance."""
        return Applied(
            service=self.name,
            index=self.view.config.index if self.view else 0,
            pending_index=self.index,
            reason=self.reason,
        )

    @property
    def config_in_force(self) -> ServiceConfig | None:
        """Configuration of the view in force, None before the first."""
        return self.view.config if self.view else None

    def next_config(self, cut_offs: set[str]) -> ServiceConfig | None:
        """Return the configuration that can be in force now, None if none can.

        Explanation
        ===========

        A version that the view in force already reaches does not delay the
        newest configuration, even without a ready target: the old
        configuration would not make a target available.
        """
        if self.newest is None:
            return None
        try:
            reached = reachable_versions(self.newest, cut_offs)
        except KeyError as error:
            self.reason = f'a route names unknown target set {error}'
            return self.config_in_force
        missing = reached - self._reached_in_force(cut_offs)
        missing -= {target.version for target in self._ready_targets()}
        if missing:
            names = ', '.join(sorted(missing))
            self.reason = f'no ready target of version {names}'
            return self.config_in_force
        self.reason = ''
        return self.newest

    def build_view(
        self,
        config: ServiceConfig,
        cut_offs: set[str],
    ) -> ServiceView:
        """Build a complete view of a configuration and the newest targets."""
        ready: dict[str, list[Target]] = {
            version: [] for version in sorted(known_versions(config))
        }
        for target in self._ready_targets():
            ready.get(target.version, []).append(target)
        return ServiceView(
            config=config,
            targets_by_version=ready,
            cut_off_moves=[
                move.id for move in config.moves if move.id in cut_offs
            ],
        )

    def _reached_in_force(self, cut_offs: set[str]) -> set[str]:
        if self.view is None:
            return set()
        return reachable_versions(self.view.config, cut_offs)

    def _ready_targets(self) -> list[Target]:
        by_id = self.targets.targets_by_id
        return [
            by_id[target_id]
            for target_id in sorted(by_id)
            if by_id[target_id].state == TargetState.READY
        ]
