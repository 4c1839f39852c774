"""Configuration and targets that a node holds."""

import asyncio
from typing import Final

from mustardspur_core.deltas import BadDelta, apply_delta
from mustardspur_core.messages import ConfigUpdate, CutOff, TargetUpdate
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.state import ServiceConfig
from mustardspur_core.target_list import BadTargets
from mustardspur_core.timeline import Timeline

from mustardspur_node.held_files import HeldFiles, HeldState
from mustardspur_node.held_service import HeldService
from mustardspur_node.held_services import HeldServices

# Targets change often and are soft, so the disk gets them at this interval;
# configurations are written at once.
SAVE_INTERVAL_S: Final = 30.0


class HeldConfig(HeldServices):
    """Everything that a node holds, as one view a service.

    Explanation
    ===========

    Updates are taken by one task. Each builds a complete new view and puts
    it in place in one assignment, so that the path of a call never sees half
    of a change. An index never goes down; on a node with a disk it is synced
    before the view is in force.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    timeline : Timeline
        Receives each configuration that comes into force.
    metrics : Metrics
        Receives counters.
    """

    def __init__(
        self,
        settings: Settings,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        """Read back what the disk has."""
        own = [settings.service] if settings.service else []
        super().__init__([*own, *settings.calls])
        self._timeline = timeline
        self._metrics = metrics
        self._files = HeldFiles(settings)
        self._cut_offs: set[str] = set()
        self._writing = asyncio.Lock()
        for state in self._files.load().values():
            self._restore(state)

    async def take_config(self, update: ConfigUpdate, accept: bool) -> bool:
        """Take a configuration if it is newer than what is held.

        Parameters
        ----------
        update : ConfigUpdate
            The update, of any age.
        accept : bool
            Whether a first configuration may be accepted now; otherwise it
            is kept as a candidate.

        Returns
        -------
        bool
            Whether the update could be used; if not, a full copy is needed.
        """
        held = self._services.get(update.service)
        if held is None or update.index <= held.index:
            return True
        try:
            config = _config_of(update, held)
        except BadDelta:
            self._metrics.incr('bad_delta')
            return False
        if accept or held.newest is not None:
            await self._accept(held, config)
        elif held.candidate is None or held.candidate.index < config.index:
            held.candidate = config
            held.reason = 'configuration not confirmed'
        return True

    async def accept_candidates(self, services: list[str]) -> None:
        """Accept the newest candidate of some services."""
        await asyncio.gather(
            *(
                self._accept(held, held.candidate)
                for held in map(self._services.__getitem__, services)
                if held.newest is None and held.candidate is not None
            ),
        )

    async def take_targets(self, update: TargetUpdate) -> bool:
        """Take targets; return whether the update could be used."""
        held = self._services.get(update.service)
        if held is None:
            return True
        try:
            held.targets = held.targets.updated(update)
        except BadTargets:
            self._metrics.incr('bad_targets')
            return False
        held.revision = update.revision
        await self._refresh(held)
        return True

    async def cut_off(self, cut_off: CutOff) -> bool:
        """End the traffic to a move's new version; return whether new."""
        if cut_off.move in self._cut_offs:
            return False
        self._cut_offs.add(cut_off.move)
        self._timeline.record(
            'cut_off',
            move=cut_off.move,
            origin=cut_off.origin,
            reason=cut_off.reason,
        )
        await asyncio.gather(*map(self._refresh, self._services.values()))
        return True

    async def save(self) -> None:
        """Write the targets and cut-offs of every service to the disk."""
        await asyncio.gather(*map(self._save, self._services.values()))

    async def _accept(self, held: HeldService, config: ServiceConfig) -> None:
        held.newest = config
        held.candidate = None
        await self._save(held)
        await self._refresh(held)

    async def _refresh(self, held: HeldService) -> None:
        # Under the lock a slower task cannot put an earlier choice in force
        # after a newer one, nor record it on the disk.
        async with self._writing:
            config = held.next_config(self._cut_offs)
            if config is not None:
                await self._put_in_force(held, config)
        for callback in self._callbacks:
            callback(held.name)

    async def _put_in_force(
        self,
        held: HeldService,
        config: ServiceConfig,
    ) -> None:
        is_newer = held.config_in_force is not config
        if is_newer:
            await self._write(held, config)
        held.view = held.build_view(config, self._cut_offs)
        if is_newer:
            self._timeline.record(
                'config_in_force',
                service=held.name,
                index=config.index,
            )

    async def _save(self, held: HeldService) -> None:
        async with self._writing:
            await self._write(held, held.config_in_force)

    async def _write(
        self,
        held: HeldService,
        in_force: ServiceConfig | None,
    ) -> None:
        if not self._files.are_kept or held.newest is None:
            return
        state = HeldState(
            in_force=in_force,
            newest=held.newest,
            targets=list(held.targets.targets_by_id.values()),
            revision=held.revision,
            cut_offs=sorted(self._cut_offs),
        )
        await asyncio.to_thread(self._files.save, state)

    def _restore(self, state: HeldState) -> None:
        held = HeldService(state.newest.service)
        held.newest = state.newest
        for target in state.targets:
            held.targets.put(target.id, target)
        held.revision = state.revision
        self._cut_offs.update(state.cut_offs)
        if state.in_force is not None:
            held.view = held.build_view(state.in_force, self._cut_offs)
        config = held.next_config(self._cut_offs)
        if config is not None:
            held.view = held.build_view(config, self._cut_offs)
        self._services[held.name] = held


async def save_often(held: HeldConfig) -> None:
    """Write targets and cut-offs to the disk at an interval, for ever."""
    while True:
        await asyncio.sleep(SAVE_INTERVAL_S)
        await held.save()


def _config_of(update: ConfigUpdate, held: HeldService) -> ServiceConfig:
    config = update.full
    if update.delta is not None:
        base = held.newest or held.candidate
        if base is None or base.index != update.base_index:
            raise BadDelta(f'no base {update.base_index}')
        config = apply_delta(base, update.delta)
    if config is None or (config.service, config.index) != (
        update.service,
        update.index,
    ):
        raise BadDelta('the content differs from the update')
    return config
