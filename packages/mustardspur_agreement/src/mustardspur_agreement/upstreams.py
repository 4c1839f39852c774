"""Order in which an instance tries upstreams."""

from collections.abc import Mapping

from mustardspur_core.settings import Peer, Settings


def upstreams(
    settings: Settings,
    voters: Mapping[str, Peer],
    leader: str | None,
) -> list[Peer]:
    """Return the candidate upstreams, most preferred first.

    Explanation
    ===========

    In its own region an instance prefers a voter, then the lowest
    identifier below its own, which is the region's gateway. The gateway
    finds neither and follows an instance of the leader's region, so that a
    change crosses each link between regions about once.

    Parameters
    ----------
    settings : Settings
        Settings of the instance that follows.
    voters : mapping of Peer
        Voters by identifier. Their regions are known, while the settings may
        list peers without one.
    leader : str or None
        Identifier of the leader, if known.
    """
    known = {peer.id: peer for peer in settings.peers} | dict(voters)
    known.pop(settings.id, None)
    leader_region = known[leader].region if leader in known else None
    same_region = [
        peer for peer in known.values() if _is_regional_upstream(peer, settings)
    ]
    other_regions = [
        peer for peer in known.values() if peer.region != settings.region
    ]
    same_region.sort(key=lambda peer: (not peer.voter, peer.id))
    other_regions.sort(
        key=lambda peer: (
            peer.region != leader_region,
            not peer.voter,
            peer.id,
        ),
    )
    return same_region + other_regions


def _is_regional_upstream(peer: Peer, settings: Settings) -> bool:
    if peer.region != settings.region:
        return False
    # Only lower identifiers, so that no two instances follow each other.
    return peer.voter or peer.id < settings.id
