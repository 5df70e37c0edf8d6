"""Messages between a keeper and the daemons that probe hosts for it."""

from __future__ import annotations

from attrs import frozen


@frozen
class ProbeQuery:
    """A keeper asks what probes of the hosts of its domain have found.

    Parameters
    ----------
    domain
        Name of the fabric domain.
    groups_table
        Number of the list of groups in its ledger; a receiver that knows
        another list reads the ledger again.
    draining
        Groups that take no new work.
    drains_known
        Whether the keeper knows which groups drain; if not, the receiver
        keeps to what it was last told.
    """

    domain: str
    groups_table: int
    draining: tuple[str, ...] = ()
    drains_known: bool = False


@frozen
class HostFinding:
    """What probes of one host have found.

    Parameters
    ----------
    host
        Name of the host.
    misses
        Probes without an answer since its last report.
    answered
        Whether it has a last report; the other fields are of this one.
    group
        Group that it belongs to by its own word; empty for none.
    state
        What it is doing.
    age_s
        Upper bound of the time since the probe was sent.
    model
        Model that it holds; empty for none.
    running
        Requests that it runs or has queued.
    fence
        Largest fencing number that it has seen.
    token_s
        Recent time between tokens, seconds; zero if unknown.
    """

    host: str
    misses: int
    answered: bool = False
    group: str = ''
    state: str = ''
    age_s: float = 0
    model: str = ''
    running: int = 0
    fence: int = 0
    token_s: float = 0


@frozen
class ProbeFindings:
    """Answer to a query: the hosts of a domain that the sender probes."""

    domain: str
    hosts: tuple[HostFinding, ...] = ()


ProbeMessage = ProbeQuery | ProbeFindings
