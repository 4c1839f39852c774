"""Rules of services in the table in force."""

from mustardspur_core.mesh.model import ServiceRule

from mustardspur_node.mesh.view import MeshView


def service_rule(view: MeshView, service: str) -> ServiceRule | None:
    """Return the rule of a service, None if the table has none."""
    if view.routes is None:
        return None
    return view.routes.table.services.get(service)
