"""Replicated log of the control instances."""

from mustardspur_agreement.log import ReplicatedLog
from mustardspur_agreement.log_rules import first_voters
from mustardspur_agreement.messages import PeerGreeting
from mustardspur_agreement.ports import (
    Committed,
    CommittedLog,
    ProposalError,
    StateMachine,
)
from mustardspur_agreement.recovery import recover_alone
from mustardspur_agreement.running import log_disk, running_log

__all__ = [
    'Committed',
    'CommittedLog',
    'PeerGreeting',
    'ProposalError',
    'ReplicatedLog',
    'StateMachine',
    'first_voters',
    'log_disk',
    'recover_alone',
    'running_log',
]
