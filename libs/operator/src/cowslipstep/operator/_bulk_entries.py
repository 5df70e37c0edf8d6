"""Several workspaces or failure domains with the same options."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from typing import Any

from cowslipstep.model import Runner, Workspace
from cowslipstep.operator._addresses import address_range
from cowslipstep.operator._entries import workspace
from cowslipstep.operator._runners import runners


def trial_workspaces(
    names: Iterable[str],
    **options: Any,
) -> tuple[Workspace, ...]:
    """Return workspaces for trials, each with the bearer key ``trial-NAME``.

    In production, generate keys at random and configure only their digests:
    ``workspace(name, key_sha256=[...])``.

    Parameters
    ----------
    names
        Names of the workspaces.
    **options
        Options of each, as of ``workspace``.

    Examples
    --------
    >>> [one.weight for one in trial_workspaces(['a', 'b'], weight=2)]
    [2, 2]
    """
    return tuple(
        workspace(name, keys=[f'trial-{name}'], **options) for name in names
    )


def runners_in(
    first_ips: Mapping[str, str],
    *,
    hosts: int,
    port: int,
    **options: Any,
) -> tuple[Runner, ...]:
    """Return runners in several failure domains of the same size.

    Parameters
    ----------
    first_ips
        IP address of the first host, by name of the failure domain.
    hosts
        Number of hosts in each domain, with consecutive IP addresses.
    port
        Port of the engines.
    **options
        Options of each, as of ``runners``.

    Examples
    --------
    >>> found = runners_in({'ebene': '10.0.0.1'}, hosts=2, port=80)
    >>> [str(one.address) for one in found]
    ['10.0.0.1:80', '10.0.0.2:80']
    """
    by_domain = (
        runners(domain, address_range(first_ip, hosts, port), **options)
        for domain, first_ip in first_ips.items()
    )
    return tuple(itertools.chain.from_iterable(by_domain))
