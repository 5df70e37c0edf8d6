"""Settings of a daemon that serves discovered upstreams."""

from __future__ import annotations

from attrs import field, frozen, validators

from cowslipstep.model import Address

_POSITIVE = validators.gt(0)


@frozen
class ServingBounds:
    """Bounds of one deployment, in seconds unless said otherwise.

    Parameters
    ----------
    grace_s
        Time from SIGTERM to SIGKILL.
    registration_s
        Time in which lapsed entries of upstreams are written again after
        an outage of the platform.
    retry_ratio
        Retries allowed for each request, over all daemons.
    retry_slack
        Retries allowed at once beside these, over all daemons.
    """

    grace_s: float = field(default=8, validator=_POSITIVE)
    registration_s: float = field(default=2, validator=_POSITIVE)
    retry_ratio: float = field(default=0.1, validator=validators.ge(0))
    retry_slack: float = field(default=10, validator=validators.ge(0))


@frozen
class ServingSettings:
    """Settings of one daemon that serves discovered upstreams.

    Parameters
    ----------
    name
        Unique name among the daemons.
    failure_domain
        Failure domain of the daemon's host.
    caller_address
        Where callers connect.
    readiness_address
        Where the balancer asks whether this daemon is ready.
    readiness_path
        The path that it asks for.
    peer_address
        Where other daemons connect.
    platform_address
        Address of the platform's object API.
    platform_reads_per_s
        Reads that the platform takes from all daemons together.
    platform_writes_per_s
        Changes that the platform takes from all daemons together.
    metrics_address
        Where metrics are served; ``None`` for nowhere.
    cores
        Processor cores that the host gives the daemon.
    first_start
        Whether the whole deployment starts for the first time.
    bounds
        Bounds of the deployment.
    log_level
        Least level of log lines that are written.
    """

    name: str = field(validator=validators.min_len(1))
    failure_domain: str
    caller_address: Address
    readiness_address: Address
    readiness_path: str
    peer_address: Address
    platform_address: Address
    platform_reads_per_s: float = field(validator=_POSITIVE)
    platform_writes_per_s: float = field(validator=_POSITIVE)
    metrics_address: Address | None = None
    cores: float = field(default=1, validator=_POSITIVE)
    first_start: bool = False
    bounds: ServingBounds = ServingBounds()
    log_level: str = 'INFO'
