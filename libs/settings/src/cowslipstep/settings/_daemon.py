"""Settings of one daemon, read from a JSON file when it starts."""

from __future__ import annotations

import pathlib

from attrs import field, frozen, validators

from cowslipstep.model import Address, DocumentError
from cowslipstep.settings._converter import parse_json, structure

_DEFAULT_MAX_BODY_BYTES = 1048576
_DEFAULT_STOP_GRACE_S = 600
_DEFAULT_PLATFORM_READS_PER_S = 2000
_DEFAULT_PLATFORM_WRITES_PER_S = 300
_DEFAULT_STATUS_PERIOD_S = 60
_LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@frozen
class PeerSettings:
    """Another daemon: its name, peer address and failure domain."""

    name: str
    address: Address
    failure_domain: str


@frozen
class DaemonSettings:
    """Settings of one daemon.

    Parameters
    ----------
    name
        Name of the daemon; no other daemon has it.
    failure_domain
        Failure domain of the daemon's host.
    http_address
        Where the daemon accepts requests of callers.
    peer_address
        Where other daemons reach this daemon.
    platform_address
        Address of the platform's object API.
    peer_listen_address
        Where to accept links of other daemons, if not at ``peer_address``,
        for example behind address translation.
    peers
        The other daemons known when this one starts.
    max_body_bytes
        Maximum size of a request body, bytes.
    memory_bytes
        Memory that the machine has for this daemon; zero for all of the
        machine, or the limit of the process.
    stop_grace_s
        Maximum wait for streams to end in a planned stop, seconds.
    unready_delay_s
        Time from the moment ``/readyz`` reports that the daemon is not ready
        until it accepts no more requests, seconds.
    platform_reads_per_s
        Reads a second that the platform admits from all daemons together.
    platform_writes_per_s
        Changes a second that the platform admits from all daemons together.
    platform_calls_per_s
        Maximum rate of this daemon, for reads and for changes; zero for no
        limit but its share of the rates above.
    status_period_s
        Minimum time between writes of the status object, seconds.
    log_level
        Minimum level of the log lines that are written.
    """

    name: str = field(validator=validators.min_len(1))
    failure_domain: str = field(validator=validators.min_len(1))
    http_address: Address
    peer_address: Address
    platform_address: Address
    peer_listen_address: Address | None = None
    peers: tuple[PeerSettings, ...] = ()
    max_body_bytes: int = field(
        default=_DEFAULT_MAX_BODY_BYTES,
        validator=validators.gt(0),
    )
    memory_bytes: int = field(default=0, validator=validators.ge(0))
    stop_grace_s: float = field(
        default=_DEFAULT_STOP_GRACE_S,
        validator=validators.ge(0),
    )
    unready_delay_s: float = field(default=2, validator=validators.ge(0))
    platform_reads_per_s: float = field(
        default=_DEFAULT_PLATFORM_READS_PER_S,
        validator=validators.gt(0),
    )
    platform_writes_per_s: float = field(
        default=_DEFAULT_PLATFORM_WRITES_PER_S,
        validator=validators.gt(0),
    )
    platform_calls_per_s: float = field(default=0, validator=validators.ge(0))
    status_period_s: float = field(
        default=_DEFAULT_STATUS_PERIOD_S,
        validator=validators.gt(0),
    )
    log_level: str = field(
        default='INFO',
        validator=validators.in_(_LOG_LEVELS),
    )

    @property
    def effective_peer_listen_address(self) -> Address:
        """Where this daemon accepts links of other daemons."""
        return self.peer_listen_address or self.peer_address


def parse_daemon_settings(text: str | bytes) -> DaemonSettings:
    """Read the settings of a daemon from JSON text.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    return structure(parse_json(text), DaemonSettings)


def load_daemon_settings(path: pathlib.Path) -> DaemonSettings:
    """Read the settings of a daemon from a file.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        unreadable = DocumentError('$', f'cannot read {path}: {error.strerror}')
        raise ExceptionGroup('cannot read the settings', [unreadable]) from None
    return parse_daemon_settings(text)
