"""Addresses in operators' configurations."""

from __future__ import annotations

import ipaddress

from attrs import frozen


@frozen
class UncheckedAddress:
    """Text of an address that is validated later, with the whole document."""

    text: str

    def __str__(self) -> str:
        return self.text


def address_range(first_ip: str, count: int, port: int) -> tuple[str, ...]:
    """Return ``count`` addresses of consecutive IPs and one port.

    Raises
    ------
    ValueError
        If ``first_ip`` is not an IP address.

    Examples
    --------
    >>> address_range('10.0.0.9', 2, 9100)
    ('10.0.0.9:9100', '10.0.0.10:9100')
    """
    first_address = ipaddress.ip_address(first_ip)
    ips = [first_address + offset for offset in range(count)]
    return tuple(f'{ip}:{port}' for ip in ips)
