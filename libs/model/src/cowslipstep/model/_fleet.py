"""Hosts, runners and groups."""

from __future__ import annotations

import enum

from attrs import field, frozen, validators

_MAX_PORT = 65535


@frozen(order=True)
class Address:
    """A TCP address: an IP number and a port.

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
        """Read ``ip:port``.

        Raises
        ------
        ValueError
            If the text has no port or the port is no number.
        """
        ip, separator, port = text.rpartition(':')
        if not (separator and ip and port.isdecimal()):
            raise ValueError(f'expected ip:port, got {text!r}')
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


class Fencing(enum.StrEnum):
    """Whether an engine refuses a command that has an old fencing number."""

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
        Where the engine answers.
    failure_domain
        Failure domain of the host.
    fabric_domain
        Hosts of one fabric domain share a fast interconnect.
    accelerators
        Number of accelerators of the host.
    fencing
        Whether the engine refuses old fencing numbers.
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
        Unique for each forming; a re-formed group gets a new name.
    model
        The model that the group serves.
    failure_domain
        Failure domain of all members.
    members
        Host names; the first one leads and takes requests.
    """

    name: str
    model: str
    failure_domain: str
    members: tuple[str, ...] = field(validator=validators.min_len(1))

    @property
    def leader(self) -> str:
        """Host name of the member that takes requests."""
        return self.members[0]


@frozen(order=True)
class Cell:
    """The groups of one model in one failure domain.

    Examples
    --------
    >>> str(Cell('drafting', 'ebene'))
    'drafting@ebene'
    """

    model: str
    failure_domain: str

    def __str__(self) -> str:
        return f'{self.model}@{self.failure_domain}'
