"""Earlier configurations, which are the bases of deltas."""

from collections import OrderedDict
from typing import Final

import msgpack
import zstandard
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.state import ServiceConfig

# Two days of changes at 8,500 a day. A node that was disconnected for longer
# is sent full copies.
MAX_CONFIGS: Final = 16384

_Key = tuple[str, int]


class ConfigHistory:
    """Compressed configurations by service and index.

    Above ``MAX_CONFIGS`` the oldest ones are removed.
    """

    __slots__ = ('_packed',)

    def __init__(self) -> None:
        """Initialise without configurations."""
        self._packed: OrderedDict[_Key, bytes] = OrderedDict()

    def add(self, config: ServiceConfig) -> None:
        """Add a configuration."""
        encoded = msgpack.packb(encode_array(config), use_bin_type=True)
        key = (config.service, config.index)
        self._packed[key] = zstandard.ZstdCompressor().compress(encoded)
        while len(self._packed) > MAX_CONFIGS:
            self._packed.popitem(last=False)

    def find(self, service: str, index: int) -> ServiceConfig | None:
        """Return a configuration, None if it is not stored."""
        packed = self._packed.get((service, index))
        if packed is None:
            return None
        encoded = zstandard.ZstdDecompressor().decompress(packed)
        return decode_array(ServiceConfig, msgpack.unpackb(encoded, raw=False))
