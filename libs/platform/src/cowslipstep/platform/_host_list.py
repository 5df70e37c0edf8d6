"""The platform's list of live and leaving hosts."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.platform._reader import ObjectReader


@frozen
class HostList:
    """Hosts as the platform lists them; the list lags behind changes."""

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


def read_host_list(platform: ObjectReader) -> HostList:
    """Read the list of hosts from the platform.

    Raises
    ------
    PlatformUnavailable
        If there was no usable response.
    """
    listed = platform.read_document('hosts', '/hosts')
    return HostList(
        frozenset(listed['live']),
        frozenset(listed['leaving']),
    )
