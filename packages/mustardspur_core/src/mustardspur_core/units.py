"""Conversion factors between units."""

from typing import Final

MS_PER_S: Final = 1000
NS_PER_S: Final = 1_000_000_000
NS_PER_MS: Final = 1_000_000
BYTES_PER_KIB: Final = 1024
BYTES_PER_MIB: Final = 1024 * 1024
