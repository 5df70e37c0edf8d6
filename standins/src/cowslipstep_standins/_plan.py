"""Plan of a local fleet: its sizes and the addresses of its processes."""

from __future__ import annotations

from attrs import field, frozen


@frozen
class FleetShape:
    """Sizes and behaviour of a local fleet.

    Parameters
    ----------
    daemons
        Number of daemons, spread over the failure domains.
    failure_domains
        Names of the failure domains; each has one fabric domain of the same
        name.
    hosts_per_domain
        Engine hosts in each failure domain.
    hosts_per_group
        Number of hosts in one group.
    slots
        Largest number of requests that a group runs at once.
    token_s
        Seconds between tokens.
    load_s
        Seconds to load weights.
    services
        Number of plain-service runners.
    workspaces
        Names of the workspaces; the bearer key of each is ``key-<name>``.
    fencing
        Whether engines refuse commands with an old fencing token.
    http_port
        HTTP port of the first daemon; zero for any free port.
    platform_calls_per_s
        Calls a second that one daemon may make to the platform; zero for an
        even share of 600 calls a second.
    relayed
        Whether the links between daemons, and to the platform, go through
        relays that can disturb them.
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
    platform_calls_per_s: int = 0
    relayed: bool = False


@frozen
class DaemonPlan:
    """Name, failure domain and addresses of one daemon.

    Parameters
    ----------
    name
        Name of the daemon.
    failure_domain
        Failure domain of the daemon.
    http
        Address that callers connect to.
    peer
        Address that other daemons connect to.
    listen
        Address on which it listens for daemons, if ``peer`` is a relay.
    platform
        Address of its relay to the platform; empty for none.
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

    ``relay`` is the control address of the relays; empty for none.
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
    """Return the bearer key of a workspace in a local fleet."""
    return f'key-{workspace}'
