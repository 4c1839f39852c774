"""Projections of the costs of each role to the design size."""

from benchmarks.capacity.projections import (
    BYTES_PER_MIB,
    EDITS_PER_DAY,
    EDITS_PER_S,
    NODE_CPU_BUDGET_PERCENT,
    NODE_MEMORY_BUDGET_MIB,
    NODE_TRAFFIC_BUDGET_BYTES,
    NODES_PER_CONTROL,
    NODES_PER_EDIT,
    TARGET_CHANGES_PER_S,
    TARGETS_PER_NODE,
    FittedLines,
    projection,
    sum_arithmetic,
)

CONTROL = 'control instance'
NODE = 'node'
VOTER = 'voter'
CLIENT = 'client'
IDLE_CPU = 'idle processor time'
IDLE_TRAFFIC = 'idle traffic'
MEMORY = 'resident memory'
CHANGE_CPU = 'processor time a change of all services'
CHANGE_TRAFFIC = 'traffic a change of all services'
TARGET_CPU = 'processor time a target change'
TARGET_TRAFFIC = 'traffic a target change'
NODES_PER_SERVICE = 15


@projection(
    NODE,
    'memory for control',
    'MiB',
    'ConfigStore: only its services; one immutable view each',
    NODE_MEMORY_BUDGET_MIB,
)
def _node_memory(lines: FittedLines) -> tuple[float, str]:
    return (
        lines.cost_at(NODE, MEMORY, TARGETS_PER_NODE),
        lines.arithmetic(NODE, MEMORY, TARGETS_PER_NODE),
    )


@projection(
    NODE,
    'processor time for control',
    '% of a core',
    'ControlLink: heartbeats, deltas, one swap a change',
    NODE_CPU_BUDGET_PERCENT,
)
def _node_cpu(lines: FittedLines) -> tuple[float, str]:
    idle = lines.cost_at(NODE, IDLE_CPU, TARGETS_PER_NODE)
    change_ms = lines.cost_at(NODE, TARGET_CPU, TARGETS_PER_NODE)
    changes = TARGET_CHANGES_PER_S + EDITS_PER_S
    return (
        idle + change_ms / 10 * changes,
        sum_arithmetic(idle, change_ms, 'ms', changes),
    )


@projection(
    NODE,
    'traffic for control',
    'bytes/s',
    'deltas by index and revision; heartbeats each second',
    NODE_TRAFFIC_BUDGET_BYTES,
)
def _node_traffic(lines: FittedLines) -> tuple[float, str]:
    idle = lines.cost_at(NODE, IDLE_TRAFFIC, TARGETS_PER_NODE)
    change = lines.cost_at(NODE, TARGET_TRAFFIC, TARGETS_PER_NODE)
    changes = TARGET_CHANGES_PER_S + EDITS_PER_S
    return (
        idle + change * changes,
        sum_arithmetic(idle, change, 'bytes', changes),
    )


@projection(
    CONTROL,
    'memory, with the nodes of a lost neighbour',
    'MiB',
    'Hub: dirty sets in place of queues; shared frames',
)
def _control_memory(lines: FittedLines) -> tuple[float, str]:
    return (
        lines.cost_at(CONTROL, MEMORY, NODES_PER_CONTROL),
        lines.arithmetic(CONTROL, MEMORY, NODES_PER_CONTROL),
    )


@projection(
    CONTROL,
    'processor time, with the nodes of a lost neighbour',
    '% of a core',
    'Hub and Relay: a change goes to the nodes of one service, all here',
)
def _control_cpu(lines: FittedLines) -> tuple[float, str]:
    idle = lines.cost_at(CONTROL, IDLE_CPU, NODES_PER_CONTROL)
    change_ms = lines.cost_at(CONTROL, CHANGE_CPU, NODES_PER_EDIT)
    return (
        idle + change_ms / 10 * EDITS_PER_S,
        sum_arithmetic(idle, change_ms, 'ms', EDITS_PER_S),
    )


@projection(
    CONTROL,
    'traffic of a change to its nodes',
    'bytes',
    'FrameCache: one encoded delta for all nodes of a service',
)
def _control_traffic(lines: FittedLines) -> tuple[float, str]:
    return (
        lines.cost_at(CONTROL, CHANGE_TRAFFIC, NODES_PER_EDIT),
        lines.arithmetic(CONTROL, CHANGE_TRAFFIC, NODES_PER_EDIT),
    )


@projection(
    VOTER,
    'processor time of edits',
    '% of a core',
    'ReplicatedLog: batches of proposals share a sync',
)
def _voter_cpu(lines: FittedLines) -> tuple[float, str]:
    spent_s = lines.cost_at(VOTER, 'processor time of edits', EDITS_PER_DAY)
    each_ms = spent_s / EDITS_PER_DAY * 1000
    return (
        each_ms / 10 * EDITS_PER_S,
        sum_arithmetic(0, each_ms, 'ms', EDITS_PER_S),
    )


@projection(
    VOTER,
    'disk of a day of edits, before snapshots',
    'MiB',
    'LogStorage: segments, dropped after a snapshot every 4,096 entries',
)
def _voter_disk(lines: FittedLines) -> tuple[float, str]:
    written = lines.cost_at(VOTER, 'disk', EDITS_PER_DAY)
    return (
        written / BYTES_PER_MIB,
        lines.arithmetic(VOTER, 'disk', EDITS_PER_DAY),
    )


@projection(
    VOTER,
    'memory after a day of edits',
    'MiB',
    'Store: bounded answers and decisions',
)
def _voter_memory(lines: FittedLines) -> tuple[float, str]:
    return (
        lines.cost_at(VOTER, MEMORY, EDITS_PER_DAY),
        lines.arithmetic(VOTER, MEMORY, EDITS_PER_DAY),
    )


@projection(
    CLIENT,
    'time to show a service',
    's',
    'one read at the leader, where all reports come together',
)
def _client_time(lines: FittedLines) -> tuple[float, str]:
    cost = 'time of a listing'
    return (
        lines.cost_at(CLIENT, cost, NODES_PER_SERVICE),
        lines.arithmetic(CLIENT, cost, NODES_PER_SERVICE),
    )
