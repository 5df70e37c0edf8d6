"""The configuration document that operators submit."""

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
    """A class of work; the order of ranks in the document is the priority.

    Parameters
    ----------
    name
        Name in the ``X-Rank`` header.
    target_first_token_s
        Target time to the first token, seconds.
    worth
        Relative worth of a request answered in time.
    floor_share
        Share of the capacity kept in a flood of other ranks, 0 to 1.
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
        SHA-256 digests, in hexadecimal, of the bearer keys.
    weight
        Weight in fair queueing.
    tokens_per_s
        Rate limit in tokens a second; zero for none.
    max_in_progress
        Limit of requests in progress; zero for none.
    """

    name: str = field(validator=_VALID_NAME)
    key_sha256: tuple[str, ...] = field(default=(), validator=_VALID_DIGESTS)
    weight: float = field(default=1, validator=validators.gt(0))
    tokens_per_s: float = field(default=0, validator=validators.ge(0))
    max_in_progress: int = field(default=0, validator=validators.ge(0))


@frozen
class Model:
    """A language model served by groups.

    Parameters
    ----------
    name
        Name in the ``model`` field of requests.
    hosts_per_group
        Number of hosts that one group spans.
    groups
        Number of groups wanted in the whole fleet.
    slots_per_group
        Requests that a group runs at once.
    """

    name: str = field(validator=_VALID_NAME)
    hosts_per_group: int = field(default=4, validator=validators.ge(1))
    groups: int = field(default=1, validator=validators.ge(0))
    slots_per_group: int = field(default=8, validator=validators.ge(1))


@frozen
class PlainService:
    """A plain HTTP service that requests are routed to.

    Parameters
    ----------
    name
        First path segment after ``/services/``.
    addresses
        Upstream addresses.
    slots_per_runner
        Calls that one upstream runs at once.
    non_idempotent_paths
        Path prefixes whose POST calls may not be repeated.
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
    """What a good day is; the evening page compares with it.

    Parameters
    ----------
    group_serving_share
        Least share of the wanted group time in which groups serve.
    stranded_share
        Largest share of accelerator time without a group to serve.
    within_target_share
        Least share of answers whose first token comes within the target
        time of their rank.
    urgent_answered_share
        Least share of the requests of the first rank that are answered.
    small_answered_gap
        By how much the share of requests answered may be smaller for small
        workspaces than for large ones.
    uncertain_share
        Largest share of requests that may have run without an answer.
    flood_refused_share
        Share of refused requests above which five minutes are a flood.
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
        Classes of work, the most urgent first.
    workspaces
        Customers and their keys.
    models
        Language models and the groups wanted of each.
    runners
        Engine processes and their hosts.
    services
        Plain services.
    key_retention_s
        How long idempotency keys are remembered, seconds.
    weight_loads_at_once
        Hosts of one fabric domain that load weights at the same time.
    targets
        What a good day is.
    submission_id
        Tells this printing of the document from all others; empty for none.
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
    """A configuration and the platform's version of it."""

    version: int
    configuration: Configuration
