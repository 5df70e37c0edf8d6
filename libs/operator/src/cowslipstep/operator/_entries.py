"""Entries of a configuration, built without validation.

``build_configuration`` validates the whole document, so that it reports all
mistakes at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from attrs import validators

from cowslipstep.model import Model, PlainService, Rank, Targets, Workspace
from cowslipstep.operator._addresses import UncheckedAddress
from cowslipstep.operator._keys import hash_key

_Entry = TypeVar('_Entry')


def rank(name: str, *, target_first_token_s: float, **options: Any) -> Rank:
    """Return a rank; a configuration lists the most urgent rank first.

    Parameters
    ----------
    name
        Name that callers send in the ``X-Rank`` header.
    target_first_token_s
        Target time to the first token, seconds.
    **options
        ``worth`` and ``floor_share`` of the rank.

    Examples
    --------
    >>> rank('urgent', target_first_token_s=1, floor_share=0.2).floor_share
    0.2
    """
    options['target_first_token_s'] = target_first_token_s
    return _unchecked(Rank, name=name, **options)


def workspace(
    name: str,
    *,
    keys: Iterable[str] = (),
    key_sha256: Iterable[str] = (),
    **options: Any,
) -> Workspace:
    """Return a workspace; it holds digests of its keys, not the keys.

    Parameters
    ----------
    name
        Name in logs, metrics and reports.
    keys
        Bearer keys; they are hashed and not stored.
    key_sha256
        Digests of further bearer keys, from ``hash_key``.
    **options
        ``weight``, ``tokens_per_s`` and ``max_in_progress``.

    Examples
    --------
    >>> len(workspace('small-firm', keys=['secret']).key_sha256)
    1
    """
    digests = (*[hash_key(key) for key in keys], *key_sha256)
    return _unchecked(Workspace, name=name, key_sha256=digests, **options)


def model(name: str, *, groups: int, **options: Any) -> Model:
    """Return a language model and the configured number of its groups.

    Parameters
    ----------
    name
        Name in the ``model`` field of requests.
    groups
        Number of groups that are to serve it in the whole fleet.
    **options
        Other fields of ``Model``, for example ``hosts_per_group``.

    Examples
    --------
    >>> model('drafting', groups=15, hosts_per_group=4).groups
    15
    """
    return _unchecked(Model, name=name, groups=groups, **options)


def service(
    name: str,
    addresses: Iterable[str],
    *,
    non_idempotent_paths: Iterable[str] = (),
    **options: Any,
) -> PlainService:
    """Return a plain service, whose calls are no completions of a model.

    Parameters
    ----------
    name
        First path segment after ``/services/``.
    addresses
        Addresses of its runners, ``ip:port``.
    non_idempotent_paths
        Path prefixes whose POST calls must not be repeated.
    **options
        Other fields of ``PlainService``.

    Examples
    --------
    >>> service('order-book', ['10.0.0.1:80']).name
    'order-book'
    """
    options['addresses'] = tuple(UncheckedAddress(text) for text in addresses)
    options['non_idempotent_paths'] = tuple(non_idempotent_paths)
    return _unchecked(PlainService, name=name, **options)


def targets(**shares: float) -> Targets:
    """Return the targets that the evening report compares a day with.

    Parameters
    ----------
    **shares
        Fields of ``Targets``, each from 0 to 1; the others have defaults.

    Examples
    --------
    >>> targets(group_serving_share=0.995).group_serving_share
    0.995
    """
    return _unchecked(Targets, **shares)


def _unchecked(entry_type: type[_Entry], **fields: Any) -> _Entry:
    with validators.disabled():
        return entry_type(**fields)
