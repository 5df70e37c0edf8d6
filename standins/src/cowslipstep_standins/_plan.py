"""Plan of a local fleet: who listens where."""

from __future__ import annotations

from attrs import field, frozen


@frozen
class FleetShape:
    """Sizes of a local fleet.

    Parameters
    ----------
    daemons
        Number of daemons, spread over the failure domains.
    failure_domains
        Their names; each has one fabric domain of the same name.
    hosts_per_domain
        Engine hosts in each failure domain.
    hosts_per_group
        Hosts that one group spans.
    slots
        Requests that a group runs at once.
    token_s
        Seconds between tokens.
    load_s
        Seconds to load weights.
    services
        Number of plain-service runners.
    workspaces
        Names; the bearer key of each is ``key-<name>``.
    fencing
        Whether engines refuse old fencing numbers.
    http_port
        Port of the first daemon; zero for any.
    relayed
        Whether relays stand between daemons, and before the platform.
    """

    daemons: int = 1
    failure_domains: tuple[str, ...] = ('port-louis',)
    hosts_per_domain: int = 2
    hosts_per_group: int = 2
    slots: int = 8
    token_s: float = 0.002
    load_s: float = 0
    services: int = 0
    workspaces: tuple[str, ...] = ('grid-a', 'grid-b')
    fencing: bool = True
    http_port: int = 0
    relayed: bool = False


@frozen
class DaemonPlan:
    """Name, failure domain and addresses of one daemon.

    Parameters
    ----------
    name
        Name of the daemon.
    failure_domain
        Its failure domain.
    http
        Where callers connect.
    peer
        Where other daemons connect.
    listen
        Where it listens for them, if behind a relay.
    platform
        Where it reaches the platform, if through a relay.
    """

    name: str
    failure_domain: str
    http: str
    peer: str
    listen: str = ''
    platform: str = ''


@frozen
class HostPlan:
    """Name, failure domain and address of one engine host."""

    name: str
    failure_domain: str
    address: str


@frozen
class FleetPlan:
    """Addresses of all processes of a local fleet.

    ``relay`` is where the relays are controlled, if there are any.
    """

    shape: FleetShape
    platform: str
    daemons: tuple[DaemonPlan, ...]
    hosts: tuple[HostPlan, ...]
    services: tuple[str, ...] = field(default=())
    relay: str = ''

    @property
    def groups(self) -> int:
        """Number of groups that the hosts can form."""
        return len(self.hosts) // self.shape.hosts_per_group

    def daemon(self, name: str) -> DaemonPlan:
        """Return the plan of one daemon."""
        return next(entry for entry in self.daemons if entry.name == name)


def workspace_key(workspace: str) -> str:
    """Bearer key of a workspace in a local fleet."""
    return f'key-{workspace}'
