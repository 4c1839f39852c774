"""JSON views of the applied state for operators."""

from types import MappingProxyType
from typing import Any

from mustardspur_core.conversion import encode_mapping

from mustardspur_control.operators_api.ports import OperatorsContext
from mustardspur_control.store import MoveRecord
from mustardspur_control.store.checks import profile_document

_ROLES = MappingProxyType({True: 'leader', False: 'follower'})


def profile_summary(context: OperatorsContext, name: str) -> dict[str, Any]:
    """Return a profile's number, last edit and followers."""
    stored = context.store.profiles[name]
    last = stored.edits[-1]
    return {
        'name': name,
        'number': stored.number,
        'index': stored.index,
        'edited_by': last.operator,
        'edited_at_s': last.at_s,
        'services': _followers(context, name),
    }


def profile_view(context: OperatorsContext, name: str) -> dict[str, Any]:
    """Return the summary, document and latest edits of a profile."""
    stored = context.store.profiles[name]
    return profile_summary(context, name) | {
        'profile': profile_document(stored.profile),
        'edits': [encode_mapping(edit) for edit in stored.edits],
    }


def service_view(context: OperatorsContext, service: str) -> dict[str, Any]:
    """Return a service's accepted configuration and its nodes' indexes.

    Explanation
    ===========

    ``in_force_everywhere`` is false if no node is known, since an instance
    knows none directly after its start.
    """
    config = context.store.config(service)
    if config is None:
        return {}
    nodes = context.nodes.in_force(service)
    everywhere = all(node.index >= config.index for node in nodes)
    return {
        'service': service,
        'profile': config.profile.name,
        'number': config.number,
        'accepted_index': config.index,
        'in_force_everywhere': bool(nodes) and everywhere,
        'nodes': [encode_mapping(node) for node in nodes],
        'moves': [encode_mapping(move) for move in config.moves],
    }


def move_summary(record: MoveRecord) -> dict[str, Any]:
    """Return a move with the profile edit that started it."""
    move: dict[str, Any] = encode_mapping(record.move)
    return move | {
        'profile': record.profile,
        'number': record.number,
        'started_by': record.decisions[0].by,
    }


def move_view(
    context: OperatorsContext,
    record: MoveRecord,
) -> dict[str, Any]:
    """Return a move with its decisions, nodes and report."""
    nodes = context.nodes.in_force(record.move.service)
    index = record.decisions[-1].index
    waiting = [node for node in nodes if node.index < index]
    return move_summary(record) | {
        'decided_index': index,
        'decisions': [
            encode_mapping(decision) for decision in record.decisions
        ],
        'in_force_on': [node.node for node in nodes if node.index >= index],
        'not_in_force_on': [encode_mapping(node) for node in waiting],
        'report': context.moves.report(record.move.id),
    }


def status_view(context: OperatorsContext) -> dict[str, Any]:
    """Return the state of the instance, its log and its store."""
    log = context.log
    return {
        'role': _ROLES[log.is_leader],
        'term': log.term,
        'leader': log.leader,
        'leader_address': context.http_addresses.get(log.leader or ''),
        'commit_index': log.commit_index,
        'applied_index': context.store.index,
    } | context.status.status()


def _followers(context: OperatorsContext, profile: str) -> list[str]:
    store = context.store
    configs = [store.config(service) for service in store.services()]
    return [
        config.service
        for config in configs
        if config is not None and config.profile.name == profile
    ]
