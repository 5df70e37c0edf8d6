"""A route that several tests use."""

from cowslipstep.fleet import RequestKind, Route, WeightedService

ROUTE = Route(
    'quotes',
    'orders.example',
    '/quotes/',
    RequestKind.idempotent,
    (WeightedService('drafting'),),
    timeout_s=6,
    objective_s=0.25,
)
