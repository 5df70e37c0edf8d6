"""Reports and refusals of upstreams whose bodies cannot be decoded."""

from __future__ import annotations

import io

import pytest
import urllib3

from cowslipstep.daemon import _cached_prefixes
from cowslipstep.daemon._upstream_failures import (
    UpstreamFailure,
    raise_for_status,
)
from cowslipstep.model import Address, MayHaveRun

ADDRESS = Address('127.0.0.1', 1)
DEEP_BODY = b'[' * 4000


def test_deep_refusal_states_nothing() -> None:
    response = urllib3.HTTPResponse(
        io.BytesIO(DEEP_BODY), status=503, preload_content=False
    )
    with pytest.raises(UpstreamFailure) as raised:
        raise_for_status(response, ADDRESS)
    assert isinstance(raised.value.verdict, MayHaveRun)


def test_deep_cache_events_give_no_hints(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    response = urllib3.HTTPResponse(DEEP_BODY, status=200)
    monkeypatch.setattr(
        _cached_prefixes, '_fetch_events', lambda _address: response.json()
    )
    assert not _cached_prefixes._fetch_hashes(ADDRESS)
