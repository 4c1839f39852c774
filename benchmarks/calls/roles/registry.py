"""Registry of the benchmark's roles."""

from collections.abc import Callable, Coroutine
from typing import Any

Role = Callable[[dict[str, Any]], Coroutine[None, None, None]]
roles_by_name: dict[str, Role] = {}


def role(name: str) -> Callable[[Role], Role]:
    """Register a role's main coroutine."""

    def decorator(main: Role) -> Role:
        roles_by_name[name] = main
        return main

    return decorator
