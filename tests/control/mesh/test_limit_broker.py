"""Tests of the brokers of limits and their shares."""

import pytest
from mustardspur_control.mesh.allowance_shares import DemandOfPeers
from mustardspur_control.mesh.limit_broker import LimitBroker
from mustardspur_control.mesh.shared_limits import shared_limits
from mustardspur_core.mesh.control_messages import (
    AllowanceDemand,
    AllowanceShare,
    AllowanceUse,
    LimitDemand,
)
from mustardspur_core.mesh.packing import encode_table, pack_table
from mustardspur_core.mesh.token_bucket import TokenBucket
from mustardspur_core.record import replaced

from tests.core.mesh.builders import account, mesh_settings, table


def _broker(rate_per_s: float) -> LimitBroker:
    broker = LimitBroker('x', TokenBucket(0, float('inf')), now_s=0)
    broker.rate_per_s = rate_per_s
    broker.burst = rate_per_s
    broker.slack = 10
    broker.resize(1, now_s=0)
    return broker


def _ask(broker: LimitBroker, node: str, wanted: int) -> AllowanceShare:
    use = AllowanceUse(limit='x', spent=0, wanted=wanted, calls=wanted)
    return broker.answer(node, use, now_s=0)


def test_calls_in_advance_are_covered() -> None:
    """Guards against 62 nodes that may all run calls in advance of a limit of
    5 a second.
    """
    broker = _broker(5)
    relaxed = sum(_ask(broker, f'n{node}', 0).relaxed for node in range(62))
    granted = _ask(broker, 'other', 100).tokens
    assert relaxed > 1
    assert 2 * relaxed + granted <= 15


def test_nodes_are_told_different_times() -> None:
    """Guards against refused nodes that all ask for the same token."""
    broker = _broker(10)
    assert _ask(broker, 'n1', 20).tokens == 20
    times = [_ask(broker, f'n{node}', 1).retry_after_ms for node in range(3)]
    assert times == pytest.approx([100, 200, 300])


@pytest.mark.parametrize('heard', [1, 3])
def test_shares(heard: int) -> None:
    """Guards against an instance that takes the shares of others that it has
    not heard, and against a share that does not follow the demand.
    """
    peers = DemandOfPeers()
    others = ['c1', 'c2', 'c3']
    for name in others[:heard]:
        demand = [LimitDemand(limit='x', per_s=10)] if name == 'c1' else []
        peers.apply(name, AllowanceDemand(full=True, demands=demand))
    peers.update(others, bool, lambda _: (), ())
    expected = 0.05 + 0.8 * 0.75 * (heard + 1) / 4
    assert peers.share('x', 30, 0.1) == pytest.approx(expected, rel=0.01)
    without_demand = (
        0.05 + 0.8 * 0.5 / (10 + 0.5 * (heard + 1)) * (heard + 1) / 4
    )
    assert peers.share('x', 0, 40) == pytest.approx(without_demand)


def test_silent_instance_keeps_the_share_of_its_nodes() -> None:
    """Guards against a share that is granted twice while an instance is cut
    off with its nodes, and against one that is lost with its instance.
    """
    peers = DemandOfPeers()
    demand = [LimitDemand(limit='x', per_s=10)]
    peers.apply('c1', AllowanceDemand(full=True, demands=demand))
    nodes = ('n1', 'n2', 'n3', 'n4')
    peers.update(['c1'], lambda _: True, lambda _: nodes, ())
    peers.update(['c1'], lambda _: False, lambda _: (), ('n1', 'n2', 'n3'))
    assert peers.by_peer('x') == {'c1': 2.5}


def test_retries_are_shared_with_accounts() -> None:
    """Guards against requests and demand that earlier deployments do not send,
    and against 62 nodes that use retries before they are granted.
    """
    plain = table(1)
    with_accounts = replaced(plain, accounts={'cafe': account('cafe')})
    mesh = mesh_settings()
    assert not shared_limits(pack_table(encode_table(plain)), mesh)
    limits = shared_limits(pack_table(encode_table(with_accounts)), mesh)
    assert limits.keys() == {'retry/forms', 'retry/stamps'}
    broker = _broker(5)
    broker.may_relax = limits['retry/forms'].may_relax
    assert not _ask(broker, 'n1', 1).relaxed
