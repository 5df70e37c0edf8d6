"""The platform's list of live and leaving hosts."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model import Address
from cowslipstep.platform._transport import PlatformTransport


@frozen
class HostList:
    """Hosts as the platform lists them, later than they really changed."""

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class HostListClient:
    """Reads the list of hosts.

    Parameters
    ----------
    address
        Address of the platform's API.
    """

    def __init__(self, address: Address) -> None:
        self._transport = PlatformTransport(address)

    def read(self) -> HostList:
        """Read the list.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        listed = self._transport.call('GET', '/hosts').json()
        return HostList(
            frozenset(listed['live']),
            frozenset(listed['leaving']),
        )
