"""A route that several tests use."""

from cowslipstep.fleet import Backend, RequestKind, Route

ROUTE = Route(
    'quotes',
    'orders.example',
    '/quotes/',
    RequestKind.idempotent,
    (Backend('drafting'),),
    timeout_s=6,
    objective_s=0.25,
)
