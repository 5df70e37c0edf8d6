"""The configuration document that operators submit to the platform."""

from __future__ import annotations

from attrs import field, frozen, validators

from cowslipstep.model._fleet import Address, Runner

_DEFAULT_KEY_RETENTION_S = 86400
_DEFAULT_SERVING_SHARE = 0.99
_DEFAULT_STRANDED_SHARE = 0.1
_DEFAULT_WITHIN_TARGET_SHARE = 0.95
_DEFAULT_URGENT_ANSWERED_SHARE = 0.95
_DEFAULT_SMALL_ANSWERED_GAP = 0.05
_DEFAULT_UNCERTAIN_SHARE = 0.001
_DEFAULT_FLOOD_REFUSED_SHARE = 0.05
_VALID_NAME = validators.matches_re('[a-z0-9][a-z0-9_.-]{0,62}')
_VALID_DIGESTS = validators.deep_iterable(
    validators.matches_re('[0-9a-f]{64}'),
)
_VALID_SUBMISSION_ID = validators.matches_re('[a-z0-9-]{0,64}')
_VALID_PATHS = validators.deep_iterable(validators.matches_re('/.*'))


@frozen
class Rank:
    """A priority class of requests; the document lists the most urgent first.

    Parameters
    ----------
    name
        Value of the ``X-Rank`` header of requests.
    target_first_token_s
        Target time from arrival to the first token, seconds.
    worth
        Relative worth of a request answered in time.
    floor_share
        Guaranteed share of the capacity while other ranks overload the
        fleet, 0 to 1.
    """

    name: str = field(validator=_VALID_NAME)
    target_first_token_s: float = field(validator=validators.gt(0))
    worth: float = field(default=1, validator=validators.ge(0))
    floor_share: float = field(
        default=0,
        validator=[validators.ge(0), validators.le(1)],
    )


@frozen
class Workspace:
    """A customer that shares the fleet with others.

    Parameters
    ----------
    name
        Name in logs, metrics and reports.
    key_sha256
        SHA-256 digests of its API keys, in hexadecimal.
    weight
        Weight in fair queuing.
    tokens_per_s
        Rate limit over the whole fleet, tokens a second; zero for none.
    max_in_progress
        Limit of requests in progress over the whole fleet; zero for none.
    """

    name: str = field(validator=_VALID_NAME)
    key_sha256: tuple[str, ...] = field(default=(), validator=_VALID_DIGESTS)
    weight: float = field(default=1, validator=validators.gt(0))
    tokens_per_s: float = field(default=0, validator=validators.ge(0))
    max_in_progress: int = field(default=0, validator=validators.ge(0))


@frozen
class Model:
    """A language model and the replicas that the fleet is to run of it.

    Parameters
    ----------
    name
        Name in the ``model`` field of requests.
    hosts_per_group
        Number of hosts that one group (replica) spans.
    groups
        Desired number of groups in the whole fleet.
    slots_per_group
        Requests that a group runs at the same time.
    """

    name: str = field(validator=_VALID_NAME)
    hosts_per_group: int = field(default=4, validator=validators.ge(1))
    groups: int = field(default=1, validator=validators.ge(0))
    slots_per_group: int = field(default=8, validator=validators.ge(1))


@frozen
class PlainService:
    """An HTTP service of another kind, whose upstreams are single processes.

    Parameters
    ----------
    name
        First path segment after ``/services/``.
    addresses
        Upstream addresses.
    slots_per_runner
        Requests that one upstream runs at the same time.
    non_idempotent_paths
        Path prefixes whose POST requests must not be retried.
    """

    name: str = field(validator=_VALID_NAME)
    addresses: tuple[Address, ...] = ()
    slots_per_runner: int = field(default=8, validator=validators.ge(1))
    non_idempotent_paths: tuple[str, ...] = field(
        default=(),
        validator=_VALID_PATHS,
    )


@frozen
class Targets:
    """Service level targets of one day, checked by the evening report.

    Parameters
    ----------
    group_serving_share
        Least share of the desired group time in which groups serve.
    stranded_share
        Largest share of accelerator time on usable hosts without a group
        while some model lacks a group.
    within_target_share
        Least share of responses whose first token comes within the target
        time of their rank.
    urgent_answered_share
        Least share of the requests of the first rank that are answered.
    small_answered_gap
        How far the share of answered requests may be lower for small
        workspaces than for large ones.
    uncertain_share
        Largest share of requests that may have run and have no response.
    flood_refused_share
        Five minutes in which a larger share of the requests is refused are
        reported as a flood.
    """

    group_serving_share: float = field(
        default=_DEFAULT_SERVING_SHARE,
        validator=[validators.ge(0), validators.le(1)],
    )
    stranded_share: float = field(
        default=_DEFAULT_STRANDED_SHARE,
        validator=[validators.ge(0), validators.le(1)],
    )
    within_target_share: float = field(
        default=_DEFAULT_WITHIN_TARGET_SHARE,
        validator=[validators.ge(0), validators.le(1)],
    )
    urgent_answered_share: float = field(
        default=_DEFAULT_URGENT_ANSWERED_SHARE,
        validator=[validators.ge(0), validators.le(1)],
    )
    small_answered_gap: float = field(
        default=_DEFAULT_SMALL_ANSWERED_GAP,
        validator=[validators.ge(0), validators.le(1)],
    )
    uncertain_share: float = field(
        default=_DEFAULT_UNCERTAIN_SHARE,
        validator=[validators.ge(0), validators.le(1)],
    )
    flood_refused_share: float = field(
        default=_DEFAULT_FLOOD_REFUSED_SHARE,
        validator=[validators.ge(0), validators.le(1)],
    )


@frozen
class Configuration:
    """All that operators configure, as one versioned document.

    Parameters
    ----------
    ranks
        Priority classes of requests, the most urgent first.
    workspaces
        Customers and their keys.
    models
        Language models and the desired number of groups of each.
    runners
        Engine processes and their hosts.
    services
        HTTP services beside the models.
    key_retention_s
        How long idempotency keys and their responses are stored, seconds.
    weight_loads_at_once
        Hosts of one fabric domain that may load weights at the same time.
    targets
        Service level targets of one day.
    submission_id
        Unique for each submission of a document; empty for none.
    """

    ranks: tuple[Rank, ...] = field(validator=validators.min_len(1))
    workspaces: tuple[Workspace, ...] = ()
    models: tuple[Model, ...] = ()
    runners: tuple[Runner, ...] = ()
    services: tuple[PlainService, ...] = ()
    key_retention_s: float = field(
        default=_DEFAULT_KEY_RETENTION_S,
        validator=validators.gt(0),
    )
    weight_loads_at_once: int = field(default=4, validator=validators.ge(1))
    targets: Targets = Targets()
    submission_id: str = field(default='', validator=_VALID_SUBMISSION_ID)


@frozen
class VersionedConfiguration:
    """A configuration and its version number at the platform."""

    version: int
    configuration: Configuration
