"""Limits on the connections of callers."""

from __future__ import annotations

from attrs import frozen


@frozen
class ConnectionLimits:
    """Limits on the connections of one listener.

    Parameters
    ----------
    max_connections
        Connections that are served at the same time. On those beyond it
        requests are refused.
    max_refused
        Connections beyond ``max_connections`` that are answered. Further ones
        are closed.
    idle_timeout_s
        Time after which an idle connection is closed, seconds.
    head_timeout_s
        Time from the first byte of a request to the end of its head, seconds.
    send_timeout_s
        Time for which a caller may take nothing of its response, seconds.
    max_head_bytes
        Longest head of a request, without the request line. The parser takes
        no longer one than the default.
    """

    max_connections: int = 10000
    max_refused: int = 100
    idle_timeout_s: float = 60
    head_timeout_s: float = 60
    send_timeout_s: float = 60
    max_head_bytes: int = 65536


def default_limits() -> ConnectionLimits:
    """Return the limits of a listener without a configuration."""
    return ConnectionLimits()
