"""Whether a daemon may accept the API key of a request."""

from __future__ import annotations

import math

from cowslipstep.model import NotRun, Permission, Reason
from cowslipstep.routing import RoutedRequest, RouteTable
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._state import ServingState

# Allows for clocks of hosts that run at different speeds.
_REVOCATION_MARGIN_S = 0.2
# Retry-After of a refused request. Another daemon may know the keys now, and
# this one asks for them again in this time.
_RETRY_AFTER_S = 0.4


def key_refusal(
    routed: RoutedRequest,
    table: RouteTable,
    permission: Permission,
    now_s: float,
) -> NotRun | None:
    """Return why the key of a request is not accepted; ``None`` if it is.

    Parameters
    ----------
    routed
        The request, with the workspace that its key stood for on arrival.
    table
        The configuration in force now.
    permission
        Permission to accept the keys of that configuration.
    now_s
        Reading of the permission's clock, seconds.
    """
    if not routed.workspace or permission.lifetime_s == math.inf:
        return None
    if not permission.holds(now_s):
        return NotRun(Reason.keys_unconfirmed, _RETRY_AFTER_S)
    identity = table.configuration.keys.get(routed.request.key or '')
    if identity is None or identity.workspace != routed.workspace:
        return NotRun(Reason.unauthorized, _RETRY_AFTER_S)
    return None


def key_permission(state: ServingState) -> Permission:
    """Return the permission of this daemon to accept keys."""
    return Permission(
        state.settings.bounds.revocation_s - _REVOCATION_MARGIN_S,
        state.configuration.freshness.confirmed_at_s,
    )


def accepts_keys(state: ServingState) -> bool:
    """Return whether this daemon may accept keys now, or needs none."""
    table = state.configuration.table
    if table is None or not table.configuration.requires_keys:
        return True
    return key_permission(state).holds(boot_time_s())
