"""Converter that refuses values of a wrong type or range.

Python's own conversions would accept, for example, ``true`` or ``"1"`` as a
number.
"""

from __future__ import annotations

import ipaddress
import math
import sys
from typing import Any

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from cowslipstep.model import Address
from cowslipstep.settings._class_hooks import (
    class_hook,
    is_uniform_tuple,
    tuple_hook,
)

_MAX_INTEGER = sys.maxsize
_IP_BRACKETS = '[]'


def _structure_number(number: Any, _target: type[float]) -> float:
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError(f'expected a number, got {number!r}')
    if not math.isfinite(number) or abs(number) > _MAX_INTEGER:
        raise ValueError(f'{number!r} is out of range')
    return float(number)


def _structure_integer(number: Any, _target: type[int]) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'expected a whole number, got {number!r}')
    if abs(number) > _MAX_INTEGER:
        raise ValueError('the whole number is out of range')
    return number


def _structure_boolean(flag: Any, _target: type[bool]) -> bool:
    if not isinstance(flag, bool):
        raise TypeError(f'expected true or false, got {flag!r}')
    return flag


def _structure_text(text: Any, _target: type[str]) -> str:
    if not isinstance(text, str):
        raise TypeError(f'expected text, got {text!r}')
    if not text.isascii():
        # Refuses lone surrogates: JSON can escape them, UTF-8 cannot hold them.
        text.encode()
    return text


def _structure_address(text: Any, _target: type[Address]) -> Address:
    address = Address.parse(_structure_text(text, str))
    ipaddress.ip_address(address.ip.strip(_IP_BRACKETS))
    return address


def make_checked_converter() -> cattrs.Converter:
    """Return a converter that refuses wrong types and unknown fields."""
    converter = make_converter(detailed_validation=False)
    converter.register_structure_hook_func(attrs.has, class_hook(converter))
    converter.register_structure_hook_func(
        is_uniform_tuple,
        tuple_hook(converter),
    )
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(bool, _structure_boolean)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_unstructure_hook(Address, str)
    return converter
