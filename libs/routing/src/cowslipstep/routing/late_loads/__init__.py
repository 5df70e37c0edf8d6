"""Loads that daemons know late: their spread, and the choice by them."""

from cowslipstep.routing.late_loads._load_spread import LoadSamples, LoadSpread
from cowslipstep.routing.late_loads._own_groups import (
    LoadAge,
    PreferOwnGroups,
    fleet_position,
    own_groups,
)
