"""Loads that daemons know late: their spread, and the choice by them."""

from cowslipstep.routing.late_loads._load_spread import LoadSamples, LoadSpread
from cowslipstep.routing.late_loads._own_groups import (
    FleetPlace,
    LoadAge,
    PreferOwnGroups,
    fleet_place,
    own_groups,
)
