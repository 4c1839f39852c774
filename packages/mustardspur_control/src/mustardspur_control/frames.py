"""Encoded updates that many nodes share."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from mustardspur_core.deltas import make_delta
from mustardspur_core.messages import ConfigUpdate, TargetUpdate
from mustardspur_core.state import ServiceConfig
from mustardspur_core.wire import encode_frame

from mustardspur_control.history import History
from mustardspur_control.registry import Registry

MAX_CACHED_FRAMES: Final = 1024

_Key = tuple[str, str, str, str]


class SharedFrames:
    """Encodes each update once, whatever the number of its receivers.

    Parameters
    ----------
    history : History
        Bases of deltas between configurations.
    registry : Registry
        Bases of deltas between target lists.
    """

    __slots__ = ('_frames', '_history', '_registry')

    def __init__(self, history: History, registry: Registry) -> None:
        """Start with an empty cache."""
        self._frames: OrderedDict[_Key, bytes] = OrderedDict()
        self._history = history
        self._registry = registry

    def config_frame(self, config: ServiceConfig, held: int) -> bytes:
        """Return the update that leads from a held index to a config."""
        key = ('config', config.service, str(held), str(config.index))
        return self._shared(key, lambda: self._config_update(config, held))

    def target_frame(self, service: str, held: str, newest: str) -> bytes:
        """Return the update that leads from a held revision to the newest."""
        key = ('targets', service, held, newest)
        return self._shared(key, lambda: self._target_update(service, held))

    def _shared(
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

    def _config_update(self, config: ServiceConfig, held: int) -> ConfigUpdate:
        base = self._history.find(config.service, held) if held else None
        return ConfigUpdate(
            service=config.service,
            index=config.index,
            base_index=base.index if base else 0,
            full=None if base else config,
            delta=make_delta(base, config) if base else None,
        )

    def _target_update(self, service: str, held: str) -> TargetUpdate:
        return self._registry.update_from(service, held)
