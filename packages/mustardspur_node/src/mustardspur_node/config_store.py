"""Configurations and targets that a node has accepted."""

import asyncio
from typing import Final

from mustardspur_core.deltas import BadDelta, apply_delta
from mustardspur_core.messages import ConfigUpdate, CutOff, TargetUpdate
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.state import ServiceConfig
from mustardspur_core.target_list import BadTargets
from mustardspur_core.timeline import Timeline

from mustardspur_node.service_state import ServiceState
from mustardspur_node.service_states import ServiceStates
from mustardspur_node.state_files import StateFiles, StoredState

# Targets change often and can be received again, so they are only written at
# this interval. Configurations are written at once.
SAVE_INTERVAL_S: Final = 30.0


class ConfigStore(ServiceStates):
    """Configurations and targets of a node, with one view per service.

    Explanation
    ===========

    Updates are applied by one task. Each builds a complete new view and
    replaces the previous one in a single assignment, so that a call never
    sees part of a change. An index never decreases; on a node with a disk
    the configuration is synced before the view is in force.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    timeline : Timeline
        Records each configuration that comes into force.
    metrics : Metrics
        Receives counters.
    """

    def __init__(
        self,
        settings: Settings,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        """Load the stored state of each service from the disk."""
        own_service = [settings.service] if settings.service else []
        super().__init__([*own_service, *settings.calls])
        self._timeline = timeline
        self._metrics = metrics
        self._files = StateFiles(settings)
        self._cut_offs: set[str] = set()
        self._write_lock = asyncio.Lock()
        for stored in self._files.load().values():
            self._restore(stored)

    async def apply_config(self, update: ConfigUpdate, accept: bool) -> bool:
        """Apply a configuration update if it is newer than the accepted one.

        Parameters
        ----------
        update : ConfigUpdate
            The update, which may be outdated.
        accept : bool
            Whether a first configuration may be accepted now; otherwise it
            is stored as a candidate.

        Returns
        -------
        bool
            Whether the update was valid; if not, a full copy is needed.
        """
        state = self._states.get(update.service)
        if state is None or update.index <= state.index:
            return True
        try:
            config = _config_of(update, state)
        except BadDelta:
            self._metrics.incr('bad_delta')
            return False
        if accept or state.newest is not None:
            await self._accept(state, config)
        elif state.candidate is None or state.candidate.index < config.index:
            state.candidate = config
            state.reason = 'configuration not confirmed'
        return True

    async def accept_candidates(self, services: list[str]) -> None:
        """Accept the newest candidates of services without a configuration."""
        await asyncio.gather(
            *(
                self._accept(state, state.candidate)
                for state in map(self._states.__getitem__, services)
                if state.newest is None and state.candidate is not None
            ),
        )

    async def apply_targets(self, update: TargetUpdate) -> bool:
        """Apply a target update; return whether it was valid."""
        state = self._states.get(update.service)
        if state is None:
            return True
        try:
            state.targets = state.targets.updated(update)
        except BadTargets:
            self._metrics.incr('bad_targets')
            return False
        state.revision = update.revision
        await self._refresh(state)
        return True

    async def cut_off(self, cut_off: CutOff) -> bool:
        """Stop the traffic to a move's new version.

        Returns whether the cut-off is the first of its move.
        """
        if cut_off.move in self._cut_offs:
            return False
        self._cut_offs.add(cut_off.move)
        self._timeline.record(
            'cut_off',
            move=cut_off.move,
            origin=cut_off.origin,
            reason=cut_off.reason,
        )
        await asyncio.gather(*map(self._refresh, self._states.values()))
        return True

    async def save(self) -> None:
        """Write the state of every service to the disk."""
        await asyncio.gather(*map(self._save, self._states.values()))

    async def _accept(self, state: ServiceState, config: ServiceConfig) -> None:
        state.newest = config
        state.candidate = None
        await self._save(state)
        await self._refresh(state)

    async def _refresh(self, state: ServiceState) -> None:
        # Without the lock a slower task could put an older configuration in
        # force, or write it to the disk, after a newer one.
        async with self._write_lock:
            config = state.next_config(self._cut_offs)
            if config is not None:
                await self._put_in_force(state, config)
        for callback in self._callbacks:
            callback(state.name)

    async def _put_in_force(
        self,
        state: ServiceState,
        config: ServiceConfig,
    ) -> None:
        is_newer = state.config_in_force is not config
        if is_newer:
            await self._write(state, config)
        state.view = state.build_view(config, self._cut_offs)
        if is_newer:
            self._timeline.record(
                'config_in_force',
                service=state.name,
                index=config.index,
            )

    async def _save(self, state: ServiceState) -> None:
        async with self._write_lock:
            await self._write(state, state.config_in_force)

    async def _write(
        self,
        state: ServiceState,
        in_force: ServiceConfig | None,
    ) -> None:
        if not self._files.has_folder or state.newest is None:
            return
        stored = StoredState(
            in_force=in_force,
            newest=state.newest,
            targets=list(state.targets.targets_by_id.values()),
            revision=state.revision,
            cut_offs=sorted(self._cut_offs),
        )
        await asyncio.to_thread(self._files.save, stored)

    def _restore(self, stored: StoredState) -> None:
        state = ServiceState(stored.newest.service)
        state.newest = stored.newest
        for target in stored.targets:
            state.targets.put(target.id, target)
        state.revision = stored.revision
        self._cut_offs.update(stored.cut_offs)
        if stored.in_force is not None:
            state.view = state.build_view(stored.in_force, self._cut_offs)
        config = state.next_config(self._cut_offs)
        if config is not None:
            state.view = state.build_view(config, self._cut_offs)
        self._states[state.name] = state


async def save_periodically(store: ConfigStore) -> None:
    """Write the store to the disk at an interval, until cancelled."""
    while True:
        await asyncio.sleep(SAVE_INTERVAL_S)
        await store.save()


def _config_of(update: ConfigUpdate, state: ServiceState) -> ServiceConfig:
    config = update.full
    if update.delta is not None:
        base = state.newest or state.candidate
        if base is None or base.index != update.base_index:
            raise BadDelta(
                f'no configuration with base index {update.base_index}'
            )
        config = apply_delta(base, update.delta)
    if config is None or (config.service, config.index) != (
        update.service,
        update.index,
    ):
        raise BadDelta(
            'configuration differs from its update in service or index'
        )
    return config
