"""Interface to the adapter of a deployment: encodings, no decisions."""

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
    """Encodes and decodes the headers of requests and responses."""

    def request_id(self, headers: Iterable[Header]) -> str:
        """Return the id of a caller's request; empty if it has no valid one."""

    def read(
        self,
        method: str,
        target: str,
        headers: Iterable[Header],
        body: bytes,
    ) -> CallerRequest:
        """Decode a caller's request, or raise ``RequestError``."""

    def headers(self, sent: UpstreamRequest) -> dict[str, str]:
        """Encode the headers of a request to an upstream."""

    def response_head(
        self,
        sent: UpstreamRequest,
        status: int,
        headers: Iterable[Header],
    ) -> ResponseHead:
        """Decode the status and headers of an upstream's response."""

    def own_headers(self, request_id: str) -> tuple[Header, ...]:
        """Encode the headers of a response of the daemon itself."""


class RunnerCommands(Protocol):
    """Encodes commands to runners, and decodes their outcomes."""

    command_path: str
    report_path: str

    def headers(self, runner: DiscoveredRunner) -> dict[str, str]:
        """Return headers that make any other runner refuse the request."""

    def body(self, command: GroupCommand, fencing_token: int) -> bytes:
        """Encode a command with the fencing token of the lease."""

    def outcome(self, status: int) -> CommandOutcome:
        """Return the outcome that a response status stands for."""


@frozen
class Dialects:
    """All encodings of one deployment.

    Parameters
    ----------
    store
        Calls and responses of the platform's object API.
    requests
        Headers of requests and responses.
    commands
        Commands to runners.
    configuration
        Decodes a configuration, or raises ``DocumentError``.
    runner
        Decodes the entry of a runner from its name and document, or raises
        ``DocumentError``.
    configuration_key
        Key of the configuration in the store.
    runners_kind
        Kind of the objects that are entries of runners.
    """

    store: StoreDialect
    requests: RequestHeaders
    commands: RunnerCommands
    configuration: Callable[[str], ServingConfiguration]
    runner: Callable[[str, str], DiscoveredRunner]
    configuration_key: ObjectKey = ObjectKey('configuration', 'main')
    runners_kind: str = 'runners'
