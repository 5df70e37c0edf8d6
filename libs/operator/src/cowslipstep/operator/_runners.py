"""Engine runners, named after their place."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from attrs import validators

from cowslipstep.model import Runner
from cowslipstep.operator._addresses import LooseAddress


def runners(
    failure_domain: str,
    addresses: Iterable[str],
    *,
    fabric_domain: str = '',
    prefix: str = '',
    **options: Any,
) -> tuple[Runner, ...]:
    """Return one runner for each address, all in one fabric domain.

    Parameters
    ----------
    failure_domain
        Failure domain of the hosts.
    addresses
        Where the engines answer, ``ip:port``.
    fabric_domain
        Fabric domain of the hosts; by default named after the failure
        domain.
    prefix
        Beginning of the host names; by default the fabric domain.
    **options
        ``accelerators`` and ``fencing`` of each runner.

    Examples
    --------
    >>> [one.host for one in runners('ebene', ['10.0.0.1:80', '10.0.0.2:80'])]
    ['ebene-h1', 'ebene-h2']
    """
    fabric = fabric_domain or failure_domain
    start = prefix or fabric
    with validators.disabled():
        return tuple(
            Runner(
                f'{start}-h{number}',
                LooseAddress(address),  # type: ignore[arg-type]
                failure_domain,
                fabric,
                **options,
            )
            for number, address in enumerate(addresses, start=1)
        )
