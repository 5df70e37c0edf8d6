"""What an adapter gives: how the outside is spoken to, without decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import frozen

from cowslipstep.fleet import (
    CallerRequest,
    CommandOutcome,
    DiscoveredRunner,
    GroupCommand,
    Header,
    ResponseHead,
    ServingConfiguration,
    UpstreamRequest,
)
from cowslipstep.platform import ObjectKey, StoreDialect


class RequestHeaders(Protocol):
    """Headers of requests and answers."""

    def read(
        self,
        method: str,
        target: str,
        headers: Iterable[Header],
        body: bytes,
    ) -> CallerRequest:
        """Return a caller's request, or raise ``RequestError``."""

    def headers(self, sent: UpstreamRequest) -> dict[str, str]:
        """Return the headers of a request to an upstream."""

    def answer(
        self,
        sent: UpstreamRequest,
        status: int,
        headers: Iterable[Header],
    ) -> ResponseHead:
        """Return what an upstream's answer says."""

    def own_headers(self, request_id: str) -> tuple[Header, ...]:
        """Return the headers of an answer that no upstream gave."""


class RunnerCommands(Protocol):
    """Orders to runners."""

    order_path: str
    report_path: str

    def headers(self, runner: DiscoveredRunner) -> dict[str, str]:
        """Return headers that no other runner accepts."""

    def body(self, order: GroupCommand, fence: int) -> bytes:
        """Return the body of an order given under a fencing number."""

    def outcome(self, status: int) -> CommandOutcome:
        """Return what the status of the answer says."""


@frozen
class Dialects:
    """All dialects of one deployment.

    Parameters
    ----------
    store
        Calls of the platform's object API.
    requests
        Headers of requests and answers.
    orders
        Orders to runners.
    configuration
        Reads a configuration, or raises ``DocumentError``.
    runner
        Reads the entry of a runner, or raises ``DocumentError``.
    configuration_key
        Where the configuration lies in the store.
    runners_kind
        Kind of the entries of runners.
    """

    store: StoreDialect
    requests: RequestHeaders
    orders: RunnerCommands
    configuration: Callable[[str], ServingConfiguration]
    runner: Callable[[str, str], DiscoveredRunner]
    configuration_key: ObjectKey = ObjectKey('configuration', 'main')
    runners_kind: str = 'runners'
