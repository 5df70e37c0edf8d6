"""Replay of daemons that choose groups by loads which they know late.

Each daemon has a view of its own: its own requests at once, and those of the
others by reports of a given age. Groups differ in speed, and some start again
during the replay; daemons receive different parts of the requests.
"""

from cowslipstep.replay.late_loads._cases import LateLoadCase
from cowslipstep.replay.late_loads._compared import (
    WAYS,
    mean_figures,
    play_late_loads,
)
from cowslipstep.replay.late_loads._play import LateLoadFigures
