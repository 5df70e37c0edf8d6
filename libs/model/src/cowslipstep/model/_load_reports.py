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
    waiting
        Those among them whose answer has not begun, by urgency; the first
        is the number of the most urgent ones.
    """

    upstream: str
    requests: int
    waiting: tuple[int, ...] = ()

    def behind(self, urgency: int) -> int:
        """Return how many wait that are less urgent.

        Examples
        --------
        >>> UpstreamLoad('a', 5, (1, 0, 2)).behind(0)
        2
        """
        return sum(self.waiting[urgency + 1 :])


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
    whole
        Whether ``entries`` are all that there are.
    """

    revision: int
    entries: tuple[RunnerDocument, ...] = ()
    removed: tuple[str, ...] = ()
    whole: bool = False


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
    suspects
        Upstreams that were silent to its requests, be it to one.
    served
        Whether it has received any request from a caller.
    keeper
        Whether it holds the lease for orders to runners.
    heard
        Runners that are registered no more and answer the sender.
    runners_revision
        Revision of the platform up to which it knows entries of runners.
    relayed
        Whether the sender is a relay: it tells the sum of its failure domain.
    whole
        Whether it tells the sum of all daemons but the one that it is for.
    """

    daemon: str
    sequence: int
    configuration_version: int
    loads: tuple[UpstreamLoad, ...] = ()
    demands: tuple[ModelDemand, ...] = ()
    suspects: tuple[str, ...] = ()
    served: bool = False
    keeper: bool = False
    heard: tuple[str, ...] = ()
    runners_revision: int = 0
    relayed: bool = False
    whole: bool = False


LoadMessage = LoadReport | RunnersQuery | RunnersCopy
