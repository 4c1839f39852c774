"""Registry of the benchmark's roles."""

from collections.abc import Callable, Coroutine
from typing import Any

RoleMain = Callable[[dict[str, Any]], Coroutine[None, None, None]]
roles_by_name: dict[str, RoleMain] = {}


def role(name: str) -> Callable[[RoleMain], RoleMain]:
    """Register the main coroutine of a role."""

    def decorator(main: RoleMain) -> RoleMain:
        roles_by_name[name] = main
        return main

    return decorator
