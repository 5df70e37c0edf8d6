"""Hosts, runners and groups."""

from __future__ import annotations

import enum

from attrs import field, frozen, validators

_MAX_PORT = 65535


@frozen(order=True)
class Address:
    """A TCP address: an IP address and a port.

    Examples
    --------
    >>> Address.parse('127.0.0.1:8080').port
    8080
    """

    ip: str
    port: int = field(
        validator=[validators.ge(0), validators.le(_MAX_PORT)],
    )

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``ip:port``.

        Raises
        ------
        ValueError
            If the text has no port or the port is not a number.
        """
        ip, separator, port = text.rpartition(':')
        if not (separator and ip and port.isdecimal()):
            raise ValueError(f'expected ip:port, got {text!r}')
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


class Fencing(enum.StrEnum):
    """Whether an engine refuses commands with an outdated fencing token."""

    checked = 'checked'
    ignored = 'ignored'


@frozen
class Runner:
    """An engine process on one host; a member of at most one group.

    Parameters
    ----------
    host
        Name of the host.
    address
        Address where the engine accepts requests and commands.
    failure_domain
        Failure domain of the host.
    fabric_domain
        Fabric domain of the host; its hosts share a fast interconnect.
    accelerators
        Number of accelerators of the host.
    fencing
        Whether the engine refuses outdated fencing tokens.
    """

    host: str
    address: Address
    failure_domain: str
    fabric_domain: str
    accelerators: int = field(default=2, validator=validators.ge(1))
    fencing: Fencing = Fencing.checked


@frozen
class Group:
    """One replica of a model that spans several hosts.

    Parameters
    ----------
    name
        Unique name; a group that is formed again gets a new one.
    model
        The model that the group serves.
    failure_domain
        Failure domain of all members.
    members
        Host names; the first one is the leader, which accepts requests.
    """

    name: str
    model: str
    failure_domain: str
    members: tuple[str, ...] = field(validator=validators.min_len(1))

    @property
    def leader(self) -> str:
        """Host name of the member that accepts requests."""
        return self.members[0]


@frozen(order=True)
class Cell:
    """The groups of one model in one failure domain.

    Each cell has one dispatcher, which grants the slots of its groups.

    Examples
    --------
    >>> str(Cell('drafting', 'ebene'))
    'drafting@ebene'
    """

    model: str
    failure_domain: str

    def __str__(self) -> str:
        return f'{self.model}@{self.failure_domain}'
