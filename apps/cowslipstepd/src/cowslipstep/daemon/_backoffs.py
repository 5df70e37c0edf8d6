"""Backoffs of the upstreams that a daemon sends requests to."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Collection, Iterator

import attrs
from loguru import logger

from cowslipstep.daemon._upstream import UpstreamCall
from cowslipstep.daemon._upstream_failures import NotSent, TurnedAway
from cowslipstep.model import NotRun, Reason
from cowslipstep.routing import UpstreamBackoffs


class Backoffs:
    """Keeps the times in which upstreams want no requests.

    Upstreams have names: groups, or addresses of the runners of services.
    """

    def __init__(self) -> None:
        self._backoffs = UpstreamBackoffs(time.monotonic)
        self._rng = random.Random()

    def names(self, upstreams: Collection[str]) -> set[str]:
        """Return those of some upstreams that want no requests now."""
        return {name for name in upstreams if self._backoffs.wait_s(name)}

    def refusal(self, upstreams: Collection[str]) -> NotRun | None:
        """Refuse a request if all its upstreams want no requests now."""
        retry_after_s = self._backoffs.retry_after_s(upstreams, self._rng)
        if not retry_after_s:
            return None
        return NotRun(Reason.no_capacity, retry_after_s)

    def guarded(self, call: UpstreamCall, name: str) -> UpstreamCall:
        """Return a call that is not written if the upstream wants none.

        It may have said so since it was chosen.
        """
        return attrs.evolve(call, before_writing=lambda: self._take(name))

    @contextlib.contextmanager
    def observed(self, name: str) -> Iterator[None]:
        """Record in the block what an upstream responds to a request."""
        try:
            yield
        except TurnedAway as refusal:
            self._record(name, refusal.retry_after)
            raise
        self._backoffs.end(name)

    def _record(self, name: str, retry_after: str) -> None:
        backoff_s = self._backoffs.record(name, retry_after)
        logger.bind(
            upstream=name, backoff_s=backoff_s, retry_after=retry_after
        ).info('upstream turned a request away and named a time')

    def _take(self, name: str) -> None:
        if not self._backoffs.take(name):
            raise NotSent(
                NotRun(Reason.no_capacity, self._backoffs.wait_s(name)),
                f'{name} wants no requests now',
            )
