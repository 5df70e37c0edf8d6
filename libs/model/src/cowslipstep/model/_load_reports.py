"""Messages on upstream loads, and copies of the entries of runners."""

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
        Number of requests in progress.
    waiting_by_urgency
        Numbers of those whose response has not begun, by urgency; the most
        urgent ones come first.
    """

    upstream: str
    requests: int
    waiting_by_urgency: tuple[int, ...] = ()

    def less_urgent_waiting(self, urgency: int) -> int:
        """Return how many requests wait that are less urgent than this.

        Examples
        --------
        >>> UpstreamLoad('a', 5, (1, 0, 2)).less_urgent_waiting(0)
        2
        """
        return sum(self.waiting_by_urgency[urgency + 1 :])


@frozen
class RunnersQuery:
    """Requests the entries of runners that changed since a revision.

    ``known_revision`` is the revision of the sender's own copy. The query
    goes to a peer whose load report has a newer one, if the sender does not
    receive the changes from the platform itself.
    """

    known_revision: int


@frozen
class RunnerDocument:
    """The entry of one runner, as stored at the platform."""

    name: str
    document: str


@frozen
class RunnersCopy:
    """Reply to ``RunnersQuery``: entries of runners up to a revision.

    Parameters
    ----------
    revision
        Revision of the platform that the sender's copy has reached.
    entries
        Entries that changed since the known revision of the query.
    removed
        Names of runners whose entries were removed since then.
    is_complete
        Whether ``entries`` are all entries, not only the changed ones.
    """

    revision: int
    entries: tuple[RunnerDocument, ...] = ()
    removed: tuple[str, ...] = ()
    is_complete: bool = False


@frozen
class ModelDemand:
    """Number of groups of one model that a daemon's requests keep busy.

    Parameters
    ----------
    model
        Name of the model, unique within its service.
    groups
        Number of groups.
    service
        The service; empty in reports of daemons that do not tell it.
    """

    model: str
    groups: float
    service: str = ''

    @property
    def key(self) -> tuple[str, str]:
        """Service and name of the model."""
        return (self.service, self.model)


@frozen
class UpstreamDoubt:
    """Number of daemons to which an upstream has not responded lately."""

    upstream: str
    daemons: int


@frozen
class LoadReport:
    """Load report of one daemon to its peers; replaces its earlier ones.

    A relay adds the reports of other daemons to its own before it sends it.

    Parameters
    ----------
    daemon
        Name of the sender.
    sequence
        Number of the report; grows with each one until the sender restarts.
    configuration_version
        Version of the configuration that the sender applies; in the report
        of a relay the newest one that any of the daemons in it applies.
    loads
        Upstreams at which the sender has requests in progress.
    demands
        Numbers of groups that its requests keep busy, by model.
    suspected_upstreams
        Upstreams that the sender suspects, or that failed one of its requests
        lately.
    doubts
        Upstreams that did not respond lately: to which no connection could
        be made, or that did not begin a response in time.
    has_served
        Whether it has received any request from a caller.
    is_controller
        Whether it holds the lease for commands to runners.
    reachable_unregistered
        Runners whose registration has expired but that answer its probes.
    runners_revision
        Revision of the platform up to which it has the entries of runners.
    from_relay
        Whether the sender is a relay; the report then includes the loads of
        the daemons of its failure domain.
    covers_all_daemons
        Whether it includes the loads of all daemons but the receiver.
    evacuations_revision
        Revision of the platform up to which it has the evacuations of failure
        domains; zero if it does not know them.
    evacuated_domains
        Failure domains that are evacuated at that revision, in order.
    store_silences
        Number of times that the platform's store responded again to the
        sender after a silence.
    daemons_known
        Number of daemons whose entries the sender has read.
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
    doubts: tuple[UpstreamDoubt, ...] = ()
    evacuations_revision: int = 0
    evacuated_domains: tuple[str, ...] = ()
    store_silences: int = 0
    daemons_known: int = 0


LoadMessage = LoadReport | RunnersQuery | RunnersCopy
