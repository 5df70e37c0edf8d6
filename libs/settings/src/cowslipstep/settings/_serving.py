"""Settings of a daemon that serves discovered upstreams."""

from __future__ import annotations

import math

from attrs import field, frozen, validators

from cowslipstep.model import Address

_POSITIVE = validators.gt(0)
# A shorter time leaves none for a call to the platform.
_MIN_REVOCATION_S = 1.0
_MIN_SOCKETS = 1.0
_MIN_MEMORY_BYTES = 1.0


@frozen
class ServingBounds:
    """Limits of one deployment.

    Parameters
    ----------
    grace_s
        Time from SIGTERM to SIGKILL, seconds.
    registration_s
        Time within which upstreams write their expired entries again after
        an outage of the platform, seconds.
    retry_ratio
        Retries allowed for each request, over all daemons together.
    retry_slack
        Unused retries that may be saved for a burst, over all daemons
        together.
    revocation_s
        Time after which no daemon accepts an API key that the configuration
        no longer has, seconds, whatever the daemon can reach; infinite for no
        such limit.
    evacuation_s
        Time after which no daemon sends requests to runners of a failure
        domain whose evacuation was written, seconds; ``None`` if failure
        domains are not evacuated.
    cold_overage
        Requests that a cold runner may get in any second, as a multiple of
        the rate that it can bear; ``None`` for no limit.
    cold_slack
        Requests that it may get in addition.
    """

    grace_s: float = field(default=8, validator=_POSITIVE)
    registration_s: float = field(default=2, validator=_POSITIVE)
    retry_ratio: float = field(default=0.1, validator=validators.ge(0))
    retry_slack: float = field(default=10, validator=validators.ge(0))
    revocation_s: float = field(
        default=math.inf, validator=validators.ge(_MIN_REVOCATION_S)
    )
    evacuation_s: float | None = field(
        default=None, validator=validators.optional(_POSITIVE)
    )
    cold_overage: float | None = field(
        default=None, validator=validators.optional(validators.ge(0))
    )
    cold_slack: float = field(default=0, validator=validators.ge(0))


@frozen
class ServingSettings:
    """Settings of one daemon that serves discovered upstreams.

    Parameters
    ----------
    name
        Name of the daemon; no other daemon has it.
    failure_domain
        Failure domain of the daemon's host.
    caller_address
        Where the daemon accepts requests of callers.
    readiness_address
        Where the daemon responds to the readiness probes of the balancer.
    readiness_path
        Path of these probes.
    peer_address
        Where other daemons reach this daemon.
    platform_address
        Address of the platform's object API.
    platform_reads_per_s
        Reads a second that the platform admits from all daemons together.
    platform_writes_per_s
        Changes a second that the platform admits from all daemons together.
    metrics_address
        Where metrics are served; ``None`` if they are not served.
    cores
        Processor cores that the daemon may use.
    first_start
        Whether this is the first start of the whole deployment.
    max_sockets
        Sockets that may be open at the same time; infinite for no limit but
        that of the process.
    memory_bytes
        Memory of the machine; infinite for no limit but that of the process.
    bounds
        Limits of the deployment.
    log_level
        Minimum level of the log lines that are written.
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
    max_sockets: float = field(
        default=math.inf, validator=validators.ge(_MIN_SOCKETS)
    )
    memory_bytes: float = field(
        default=math.inf, validator=validators.ge(_MIN_MEMORY_BYTES)
    )
    bounds: ServingBounds = ServingBounds()
    log_level: str = 'INFO'
