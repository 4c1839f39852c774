"""Registry of the roles of the daemon."""

from collections.abc import Awaitable, Callable

from mustardspur_core.settings import Settings, SettingsFile

Role = Callable[[SettingsFile, Settings], Awaitable[None]]
_roles_by_name: dict[str, Role] = {}


def role(name: str) -> Callable[[Role], Role]:
    """Register a coroutine function as a role of the daemon."""

    def decorator(run: Role) -> Role:
        _roles_by_name[name] = run
        return run

    return decorator


async def run_role(settings_file: SettingsFile, settings: Settings) -> None:
    """Run the role given in the settings until the process is stopped."""
    await _roles_by_name[settings.role](settings_file, settings)
