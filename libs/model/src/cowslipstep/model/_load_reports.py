"""What daemons tell each other of the requests that they have in progress."""

from __future__ import annotations

from attrs import frozen


@frozen
class UpstreamLoad:
    """Requests in progress at one upstream.

    Parameters
    ----------
    upstream
        Name of the upstream.
    requests
        Number of requests.
    waiting_by_urgency
        Those among them whose answer has not begun, by urgency; the first
        is the number of the most urgent ones.
    """

    upstream: str
    requests: int
    waiting_by_urgency: tuple[int, ...] = ()

    def less_urgent_waiting(self, urgency: int) -> int:
        """Return how many wait that are less urgent.

        Examples
        --------
        >>> UpstreamLoad('a', 5, (1, 0, 2)).less_urgent_waiting(0)
        2
        """
        return sum(self.waiting_by_urgency[urgency + 1 :])


@frozen
class RunnersQuery:
    """Asks a peer for all entries of runners that it knows."""

    known_revision: int


@frozen
class RunnerDocument:
    """The entry of one runner as the platform holds it."""

    name: str
    document: str


@frozen
class RunnersCopy:
    """Entries of runners up to a revision of the platform.

    Parameters
    ----------
    revision
        Revision of the platform.
    entries
        Entries that changed since the revision that was asked for.
    removed
        Names of runners whose entries were removed since then.
    is_complete
        Whether ``entries`` are all that there are.
    """

    revision: int
    entries: tuple[RunnerDocument, ...] = ()
    removed: tuple[str, ...] = ()
    is_complete: bool = False


@frozen
class ModelDemand:
    """Full groups of one model that a daemon's requests keep busy."""

    model: str
    groups: float


@frozen
class LoadReport:
    """Report of one daemon to its peers; each replaces the one before.

    A relay's report also tells what daemons that report to it have told.

    Parameters
    ----------
    daemon
        Name of the sender.
    sequence
        Grows with each report of one run of the sender.
    configuration_version
        Version of the sender's configuration in force.
    loads
        Upstreams where it has requests in progress.
    demands
        Groups that its requests keep busy.
    suspected_upstreams
        Upstreams that were silent to its requests, be it to one.
    has_served
        Whether it has received any request from a caller.
    is_controller
        Whether it holds the lease for commands to runners.
    reachable_unregistered
        Runners that are registered no more and answer the sender.
    runners_revision
        Revision of the platform up to which it knows entries of runners.
    from_relay
        Whether the sender is a relay: it tells the sum of its failure domain.
    covers_all_daemons
        Whether it tells the sum of all daemons but the one that it is for.
    """

    daemon: str
    sequence: int
    configuration_version: int
    loads: tuple[UpstreamLoad, ...] = ()
    demands: tuple[ModelDemand, ...] = ()
    suspected_upstreams: tuple[str, ...] = ()
    has_served: bool = False
    is_controller: bool = False
    reachable_unregistered: tuple[str, ...] = ()
    runners_revision: int = 0
    from_relay: bool = False
    covers_all_daemons: bool = False


LoadMessage = LoadReport | RunnersQuery | RunnersCopy
