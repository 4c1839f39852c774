"""Rows of a routing table and the differences between two tables."""

from typing import Any, Final

import msgpack
import zstandard

from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.mesh.model import (
    CallerLimits,
    MeshRoute,
    RoutingTable,
    ServiceRule,
)
from mustardspur_core.record import Record

# A table of some hundred thousand routes.
MAX_UNPACKED_BYTES: Final = 67_108_864

Rows = dict[str, Any]


class TableRows(Record):
    """A table as rows by name, the form in which it is sent and compared."""

    __slots__ = ('number', 'routes', 'services', 'limits')
    number: int
    routes: Rows
    services: Rows
    limits: list[Any]


class TableDelta(Record):
    """What turns one table into another.

    Parameters
    ----------
    base_index : int
        Log index of the table that it starts from, 0 for an empty one.
    index : int
        Log index of the table that it leads to.
    removed : list of str
        Names of the routes that are gone.
    """

    __slots__ = (
        'base_index',
        'index',
        'number',
        'routes',
        'removed',
        'services',
        'limits',
    )
    base_index: int
    index: int
    number: int
    routes: Rows
    removed: list[str]
    services: Rows
    limits: list[Any]


def table_rows(table: RoutingTable) -> TableRows:
    """Return the rows of a table."""
    return TableRows(
        number=table.number,
        routes=encode_array(table.routes),
        services=encode_array(table.services),
        limits=encode_array(table.limits),
    )


def pack_rows(rows: TableRows) -> bytes:
    """Return the rows as compressed msgpack."""
    packed = msgpack.packb(
        [rows.number, rows.routes, rows.services, rows.limits],
    )
    return compress_bytes(packed)


def unpack_rows(packed: bytes) -> TableRows:
    """Return the rows that `pack_rows` packed."""
    number, routes, services, limits = msgpack.unpackb(expand_bytes(packed))
    return TableRows(
        number=number,
        routes=routes,
        services=services,
        limits=limits,
    )


def difference(
    base: TableRows | None,
    base_index: int,
    rows: TableRows,
    index: int,
) -> TableDelta:
    """Return what turns one table, or none, into another."""
    old = base.routes if base else {}
    return TableDelta(
        base_index=base_index if base else 0,
        index=index,
        number=rows.number,
        routes={
            name: row
            for name, row in rows.routes.items()
            if old.get(name) != row
        },
        removed=[name for name in old if name not in rows.routes],
        services=rows.services,
        limits=rows.limits,
    )


def apply_delta(
    table: RoutingTable | None,
    delta: TableDelta,
) -> RoutingTable:
    """Return the table that a delta leads to.

    Raises
    ------
    DecodeError
        If a row does not fit its class.
    """
    held = table.routes if table and delta.base_index else {}
    removed = set(delta.removed)
    routes = {
        name: route for name, route in held.items() if name not in removed
    }
    changed = {
        name: decode_array(MeshRoute, row) for name, row in delta.routes.items()
    }
    routes.update(changed)
    return RoutingTable(
        number=delta.number,
        routes=routes,
        services={
            name: decode_array(ServiceRule, row)
            for name, row in delta.services.items()
        },
        limits=decode_array(CallerLimits, delta.limits),
    )


def compress_bytes(content: bytes) -> bytes:
    """Return bytes compressed for the log and for other regions."""
    return zstandard.ZstdCompressor().compress(content)


def expand_bytes(content: bytes) -> bytes:
    """Return the bytes that `compress_bytes` compressed."""
    return zstandard.ZstdDecompressor().decompress(
        content,
        max_output_size=MAX_UNPACKED_BYTES,
    )
