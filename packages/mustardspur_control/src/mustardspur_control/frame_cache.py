"""Cache of encoded updates."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from mustardspur_core.deltas import make_delta
from mustardspur_core.messages import ConfigUpdate, TargetUpdate
from mustardspur_core.state import ServiceConfig
from mustardspur_core.wire import encode_frame

from mustardspur_control.config_history import ConfigHistory
from mustardspur_control.registry import Registry

MAX_CACHED_FRAMES: Final = 1024

_Key = tuple[str, str, str, str]


class FrameCache:
    """Encodes each update once for all of its receivers.

    Parameters
    ----------
    history : ConfigHistory
        Earlier configurations, the bases of deltas.
    registry : Registry
        Targets and the updates between their revisions.
    """

    __slots__ = ('_frames', '_history', '_registry')

    def __init__(self, history: ConfigHistory, registry: Registry) -> None:
        """Initialise with an empty cache."""
        self._frames: OrderedDict[_Key, bytes] = OrderedDict()
        self._history = history
        self._registry = registry

    def config_frame(self, config: ServiceConfig, node_index: int) -> bytes:
        """Return the encoded update from `node_index` to a configuration."""
        key = ('config', config.service, str(node_index), str(config.index))
        return self._cached(
            key, lambda: self._config_update(config, node_index)
        )

    def target_frame(
        self, service: str, node_revision: str, newest: str
    ) -> bytes:
        """Return the encoded update from `node_revision` to `newest`."""
        key = ('targets', service, node_revision, newest)
        return self._cached(
            key, lambda: self._target_update(service, node_revision)
        )

    def _cached(
        self,
        key: _Key,
        build: Callable[[], ConfigUpdate | TargetUpdate],
    ) -> bytes:
        encoded = self._frames.get(key)
        if encoded is None:
            encoded = encode_frame(build())
            self._frames[key] = encoded
        self._frames.move_to_end(key)
        while len(self._frames) > MAX_CACHED_FRAMES:
            self._frames.popitem(last=False)
        return encoded

    def _config_update(
        self, config: ServiceConfig, node_index: int
    ) -> ConfigUpdate:
        base = (
            self._history.find(config.service, node_index)
            if node_index
            else None
        )
        return ConfigUpdate(
            service=config.service,
            index=config.index,
            base_index=base.index if base else 0,
            full=None if base else config,
            delta=make_delta(base, config) if base else None,
        )

    def _target_update(self, service: str, node_revision: str) -> TargetUpdate:
        return self._registry.update_from(service, node_revision)
