"""Engine runners of one failure domain, named after their domain."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from attrs import validators

from cowslipstep.model import Runner
from cowslipstep.operator._addresses import UncheckedAddress


def runners(
    failure_domain: str,
    addresses: Iterable[str],
    *,
    fabric_domain: str = '',
    prefix: str = '',
    **options: Any,
) -> tuple[Runner, ...]:
    """Return a runner for each address, all in one fabric domain.

    Parameters
    ----------
    failure_domain
        Failure domain of the hosts.
    addresses
        Addresses of the engines, ``ip:port``.
    fabric_domain
        Fabric domain of the hosts; by default it has the name of the failure
        domain.
    prefix
        Prefix of the host names; by default the name of the fabric domain.
    **options
        ``accelerators`` and ``fencing`` of each runner.

    Examples
    --------
    >>> [one.host for one in runners('ebene', ['10.0.0.1:80', '10.0.0.2:80'])]
    ['ebene-h1', 'ebene-h2']
    """
    resolved_fabric_domain = fabric_domain or failure_domain
    host_prefix = prefix or resolved_fabric_domain
    with validators.disabled():
        return tuple(
            Runner(
                f'{host_prefix}-h{number}',
                UncheckedAddress(address),  # type: ignore[arg-type]
                failure_domain,
                resolved_fabric_domain,
                **options,
            )
            for number, address in enumerate(addresses, start=1)
        )
