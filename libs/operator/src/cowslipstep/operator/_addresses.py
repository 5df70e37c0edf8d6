"""Addresses as operators write them."""

from __future__ import annotations

import ipaddress

from attrs import frozen


@frozen
class LooseAddress:
    """An address that is checked only with the whole document."""

    text: str

    def __str__(self) -> str:
        return self.text


def address_range(first_ip: str, count: int, port: int) -> tuple[str, ...]:
    """Return ``count`` addresses of consecutive IP numbers and one port.

    Raises
    ------
    ValueError
        If ``first_ip`` is no IP number.

    Examples
    --------
    >>> address_range('10.0.0.9', 2, 9100)
    ('10.0.0.9:9100', '10.0.0.10:9100')
    """
    first = ipaddress.ip_address(first_ip)
    ips = [first + offset for offset in range(count)]
    return tuple(f'{ip}:{port}' for ip in ips)
