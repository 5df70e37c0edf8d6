"""Settings of one daemon, read from a JSON file at its start."""

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
        Unique name among the daemons.
    failure_domain
        Failure domain of the daemon's host.
    http_address
        Where callers connect.
    peer_address
        Where other daemons connect.
    platform_address
        Address of the platform's object API.
    peer_listen_address
        Where to listen for other daemons, if not at ``peer_address``, for
        example behind address translation.
    peers
        The other daemons known at the start.
    max_body_bytes
        Largest request body that is read, bytes.
    stop_grace_s
        Longest wait for streams in a planned stop, seconds.
    unready_delay_s
        Time between ``/readyz`` off and the end of intake, seconds.
    platform_reads_per_s
        Reads that the platform takes from all daemons together.
    platform_writes_per_s
        Changes that the platform takes from all daemons together.
    platform_calls_per_s
        Largest budget of this daemon; zero for its share of the above.
    status_period_s
        Least time between writes of the status object, seconds.
    log_level
        Least level of log lines that are written.
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
    def listens_to_peers_at(self) -> Address:
        """Where this daemon listens for other daemons."""
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
        problem = DocumentError('$', f'cannot read {path}: {error.strerror}')
        raise ExceptionGroup('no settings', [problem]) from None
    return parse_daemon_settings(text)
