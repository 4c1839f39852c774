"""Shares of the traffic that the versions of a service get."""

from collections.abc import Collection

from mustardspur_core.state import Move, MoveState, ServiceConfig


def version_shares(
    config: ServiceConfig,
    target_set: str,
    cut_off_moves: Collection[str],
) -> dict[str, float]:
    """Return the share of each version in the traffic of a target set.

    Parameters
    ----------
    config : ServiceConfig
        Configuration of the service.
    target_set : str
        Name of one of its target sets.
    cut_off_moves : collection of str
        Moves whose new version gets no traffic.

    Returns
    -------
    dict of float
        Shares above 0 by version; their sum is 1.

    Raises
    ------
    KeyError
        If the profile does not have the target set.
    """
    version = config.profile.target_sets[target_set].version
    move = _newest_move(config, target_set)
    if move is None or move.to_version != version:
        return {version: 1.0}
    share = 0 if move.id in cut_off_moves else _share(move)
    shares = {move.from_version: 1.0 - share}
    shares[move.to_version] = shares.get(move.to_version, 0) + share
    return {name: part for name, part in shares.items() if part > 0}


def reachable_versions(
    config: ServiceConfig,
    cut_off_moves: Collection[str],
) -> set[str]:
    """Return the versions that get a share of any route's traffic.

    Raises
    ------
    KeyError
        If a route names a target set that the profile does not have.
    """
    return {
        version
        for target_set in routed_target_sets(config)
        for version in version_shares(config, target_set, cut_off_moves)
    }


def known_versions(config: ServiceConfig) -> set[str]:
    """Return all versions of the target sets and of the newest moves."""
    names = {
        target_set.version for target_set in config.profile.target_sets.values()
    }
    for move in config.moves:
        names |= {move.from_version, move.to_version}
    return names


def routed_target_sets(config: ServiceConfig) -> set[str]:
    """Return the target sets that have a weight above 0 in some route."""
    return {
        target_set
        for route in config.profile.routes
        for target_set, weight in route.weights.items()
        if weight > 0
    }


def _newest_move(config: ServiceConfig, target_set: str) -> Move | None:
    moves = [move for move in config.moves if move.target_set == target_set]
    return moves[-1] if moves else None


def _share(move: Move) -> float:
    if move.state == MoveState.DONE:
        return 1.0
    if move.state == MoveState.TAKEN_BACK:
        return 0
    return move.share
