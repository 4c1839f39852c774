"""Starts of single instances, decided by the rules of the product."""

from mustardspur_agreement import ballot_rules, log_rules
from mustardspur_agreement.ballot import first_ballot
from mustardspur_agreement.checking.model import Instance, Setup


def started(name: str, setup: Setup, *, first_start: bool) -> Instance:
    """Return an instance that starts without files."""
    voters = log_rules.first_voters(
        None,
        setup.seed_names,
        first_start=first_start or setup.lists_voters_again,
    )
    ballot = ballot_rules.ballot_at_start(
        first_ballot(),
        is_fresh=True,
        remembers_first_start=bool(voters) and not setup.lists_voters_again,
    )
    return Instance(
        name=name,
        term=ballot.term,
        voted_for='',
        trusted=ballot.trusted,
        log=(),
        commit=0,
        first=tuple(voters),
    )


def restarted(instance: Instance, *, keeps_mark: bool) -> Instance:
    """Return an instance that starts with its files."""
    return Instance(
        name=instance.name,
        term=instance.term,
        voted_for=instance.voted_for,
        trusted=instance.trusted,
        log=instance.log,
        commit=instance.commit if keeps_mark else 0,
        first=instance.first,
    )
