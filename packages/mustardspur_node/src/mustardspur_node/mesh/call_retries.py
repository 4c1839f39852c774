"""Retries of calls within the budget that the routing table calls for."""

import random

from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings

from mustardspur_node.mesh.allowance_requests import AllowanceRequests
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.calls import MeshCall
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.retry_budget import MeshRetryBudget
from mustardspur_node.mesh.shared_retries import SharedRetries
from mustardspur_node.mesh.view import MeshView


class NestedRetry(CallProgress):
    """State of a call that counts as a retry from its first arrival on.

    It is made within a run that is itself a retry.
    """

    __slots__ = ()


class CallRetries:
    """Counts calls and decides on their retries.

    Explanation
    ===========

    Tables with accounts use `SharedRetries`, others `MeshRetryBudget`. Where
    the table has accounts, the calls without one are made by the local target
    within the calls that it runs.

    Parameters
    ----------
    mesh : MeshSettings
        Ratio, fixed part and window of the shared budget.
    view : MeshView
        Table and number of nodes.
    local : LocalTarget
        Runs retries, and makes calls within them.
    generator : random.Random
        Source of random draws.

    Attributes
    ----------
    requests : AllowanceRequests
        Requests to the control instance, for these and other limits.
    """

    __slots__ = ('_budget', '_local', '_shared', '_view', 'requests')

    def __init__(
        self,
        mesh: MeshSettings,
        view: MeshView,
        local: LocalTarget,
        generator: random.Random,
    ) -> None:
        """Initialise without calls."""
        self._view = view
        self._local = local
        self._budget = MeshRetryBudget(mesh)
        self.requests = AllowanceRequests()
        self._shared = SharedRetries(mesh, view, generator, self.requests)
        local.may_run_retries = self._shared.may_run_retries

    def new_progress(self, call: MeshCall, service: str) -> CallProgress:
        """Count a call and return its state."""
        if not self._view.has_accounts:
            self._budget.record_call(service)
            return CallProgress(call, service)
        if call.account is None and self._is_nested_retry(service):
            return NestedRetry(call, service)
        return CallProgress(call, service)

    def is_repeat(self, progress: CallProgress) -> bool:
        """Return whether a call is stated to be a retry at its next target."""
        return self._view.has_accounts and (
            isinstance(progress, NestedRetry) or progress.arrivals > 0
        )

    def record_arrival(self, progress: CallProgress) -> None:
        """Count a call that has arrived at a target for the first time."""
        if progress.arrivals == 1 and self._view.has_accounts:
            self._shared.record_first_arrival(
                progress.service, is_retry=isinstance(progress, NestedRetry)
            )

    def try_acquire(self, service: str) -> bool:
        """Use a retry of the budget and return whether there was one."""
        if self._view.has_accounts:
            return self._shared.try_acquire(service)
        nodes = len(self._view.targets_by_node)
        return self._budget.try_acquire(service, nodes)

    def set_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of a table with accounts."""
        if self._view.has_accounts:
            metrics.gauge('retries.nested', self._shared.nested)
            metrics.gauge('retries.with_token', self._shared.with_token)

    def _is_nested_retry(self, service: str) -> bool:
        running = max(self._local.admission.capacity.running, 1)
        repeated = min(self._local.repeats / running, 1)
        return self._shared.is_nested_retry(service, repeated)
