"""Conversion between reports of nodes and their grouped messages."""

from collections import defaultdict
from collections.abc import Iterable

from mustardspur_core.messages import Applied

from mustardspur_control.applied import AppliedTable, NodeApplied
from mustardspur_control.relay.messages import AppliedRow, AppliedSummary

_GroupKey = tuple[str, int, int, str, str]


def group_reports(reports: Iterable[NodeApplied]) -> AppliedSummary:
    """Return reports grouped by content, so that each text is sent once."""
    nodes_by_key: dict[_GroupKey, list[str]] = defaultdict(list)
    for row in reports:
        report = row.report
        nodes_by_key[
            report.service,
            report.index,
            report.pending_index,
            report.reason,
            row.control,
        ].append(row.node)
    return AppliedSummary(
        rows=[
            AppliedRow(
                service=key[0],
                index=key[1],
                pending_index=key[2],
                reason=key[3],
                control=key[4],
                nodes=nodes,
            )
            for key, nodes in nodes_by_key.items()
        ],
    )


def apply_reports(table: AppliedTable, summary: AppliedSummary) -> None:
    """Store every report of a summary in a table."""
    for row in summary.rows:
        report = Applied(
            service=row.service,
            index=row.index,
            pending_index=row.pending_index,
            reason=row.reason,
        )
        for node in row.nodes:
            table.put(
                NodeApplied(control=row.control, node=node, report=report),
            )
