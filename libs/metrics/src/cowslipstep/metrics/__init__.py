"""Counters and histograms for each workspace and rank."""

from cowslipstep.metrics._counters import CounterKey as CounterKey
from cowslipstep.metrics._counters import Counters as Counters
from cowslipstep.metrics._histograms import Histograms as Histograms
from cowslipstep.metrics._histograms import Series as Series
