"""Checks of a profile that the JSON schema cannot express."""

from collections.abc import Callable, Iterable, Iterator
from datetime import UTC, datetime

from mustardspur_core.findings import Finding
from mustardspur_core.profile.model import Profile, Route

_Problem = tuple[str, str, str]
_Check = Callable[[Profile, float], Iterator[_Problem]]
_checks: list[_Check] = []


def check_profile(
    profile: Profile,
    file_name: str,
    now_s: float,
) -> list[Finding]:
    """Run all registered checks and return their findings.

    Parameters
    ----------
    profile : Profile
        A profile that conforms to the schema.
    file_name : str
        Name of the source in the findings.
    now_s : float
        Wall clock in seconds.
    """
    return [
        Finding(source=file_name, path=path, expected=expected, found=found)
        for check in _checks
        for path, expected, found in check(profile, now_s)
    ]


def profile_check(check: _Check) -> _Check:
    """Register a function as a check of profiles."""
    _checks.append(check)
    return check


@profile_check
def _check_references(profile: Profile, now_s: float) -> Iterator[_Problem]:
    for index, route in enumerate(profile.routes):
        path = f'$.routes[{index}]'
        for name in route.weights:
            if name not in profile.target_sets:
                yield (
                    f'{path}.weights.{name}',
                    _one_of(profile.target_sets),
                    name,
                )
        if route.call_class not in profile.call_classes:
            yield (
                f'{path}.call_class',
                _one_of(profile.call_classes),
                route.call_class,
            )
        if route.retry not in profile.retries:
            yield f'{path}.retry', _one_of(profile.retries), route.retry


@profile_check
def _check_weights(profile: Profile, now_s: float) -> Iterator[_Problem]:
    for index, route in enumerate(profile.routes):
        if not any(route.weights.values()):
            yield (
                f'$.routes[{index}].weights',
                'at least one weight above 0',
                str(route.weights),
            )


@profile_check
def _check_route_names(profile: Profile, now_s: float) -> Iterator[_Problem]:
    indexes_by_name: dict[str, int] = {}
    for index, route in enumerate(profile.routes):
        first = indexes_by_name.setdefault(route.name, index)
        if first != index:
            yield (
                f'$.routes[{index}].name',
                f'a name other than that of routes[{first}]',
                route.name,
            )


@profile_check
def _check_reachable(profile: Profile, now_s: float) -> Iterator[_Problem]:
    for index, route in enumerate(profile.routes):
        for earlier, other in enumerate(profile.routes[:index]):
            if _hides(other, route):
                yield (
                    f'$.routes[{index}]',
                    'a route that an earlier one does not hide',
                    f'{route.name}, hidden by routes[{earlier}] {other.name}',
                )
                break


@profile_check
def _check_retries(profile: Profile, now_s: float) -> Iterator[_Problem]:
    for index, route in enumerate(profile.routes):
        policy = profile.retries.get(route.retry)
        if policy is None:
            continue
        path = f'$.routes[{index}].retry'
        if policy.hedge_after_ms and not route.idempotent:
            yield path, 'no hedging for a non-idempotent route', route.retry
        if policy.hedge_after_ms >= route.timeout_ms:
            yield (
                path,
                f'hedge_after_ms below timeout_ms {route.timeout_ms}',
                str(policy.hedge_after_ms),
            )


@profile_check
def _check_retry_limits(profile: Profile, now_s: float) -> Iterator[_Problem]:
    for name, policy in profile.retries.items():
        if policy.attempts > 1 and not policy.budget_ratio:
            yield (
                f'$.retries.{name}',
                'a budget_ratio above 0 where attempts is above 1',
                f'attempts {policy.attempts}, budget_ratio 0',
            )


@profile_check
def _check_deadline(profile: Profile, now_s: float) -> Iterator[_Problem]:
    if profile.move.by is None:
        return
    try:
        by = datetime.fromisoformat(profile.move.by)
    except ValueError:
        yield '$.move.by', 'an ISO 8601 time', profile.move.by
        return
    if by.tzinfo is None:
        yield '$.move.by', 'a time with its offset from UTC', profile.move.by
    elif by <= datetime.fromtimestamp(now_s, UTC):
        yield '$.move.by', 'a time in the future', profile.move.by


def _hides(earlier: Route, later: Route) -> bool:
    return (
        later.path_prefix.startswith(earlier.path_prefix)
        and set(later.methods) <= set(earlier.methods)
        and earlier.headers.items() <= later.headers.items()
    )


def _one_of(names: Iterable[str]) -> str:
    joined = ', '.join(sorted(names))
    return f'one of {joined}'
