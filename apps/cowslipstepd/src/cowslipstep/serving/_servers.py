"""Starts the servers for callers, the balancer and operators."""

from __future__ import annotations

from cowslipstep.daemon._caller_memory import CallerMemory
from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._listening import listen_http
from cowslipstep.serving._applications import (
    CallerApplication,
    ReadinessApplication,
)
from cowslipstep.serving._caller_limits import (
    caller_limits,
    held_limits,
    operator_limits,
)
from cowslipstep.serving._demand import DemandEstimator
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._metrics_application import (
    MetricsApplication,
    serve_metrics,
)
from cowslipstep.serving._state import ServingState


def start_servers(state: ServingState, demand: DemandEstimator) -> CallerServer:
    """Start all servers and return the one for callers.

    Raises
    ------
    ListenError
        If the address for callers or the balancer is in use.
    """
    settings = state.settings
    memory = CallerMemory(lambda: held_limits(state))
    memory.log(caller_limits(state).max_connections)
    balancer = CallerServer(
        listen_http(settings.readiness_address),
        ReadinessApplication(state),
        bool,  # always false: connections of the balancer stay open
        lambda: operator_limits(state),
        state.process.tasks,
    )
    balancer.connections.memory = memory
    balancer.start()
    metrics = RequestMetrics()
    callers = CallerServer(
        listen_http(settings.caller_address),
        CallerApplication(state, metrics),
        lambda: state.stopping,
        lambda: caller_limits(state),
        state.process.tasks,
    )
    callers.connections.memory = memory
    callers.start()
    # The metrics server starts last, so that it cannot occupy the address of
    # the server for callers.
    serve_metrics(
        MetricsApplication(state, metrics, callers.connections, demand),
        settings.metrics_address,
        lambda: operator_limits(state),
    )
    return callers
