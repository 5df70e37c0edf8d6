"""Metrics of daemons, and the status objects that store them by day.

Metrics are counters, gauges, events, records of refused and uncertain
requests, and histograms of durations for each workspace and rank.
"""

from cowslipstep.metrics._aggregation import OTHER_WORKSPACES
from cowslipstep.metrics._counter_growth import CounterGrowth, TimeSlotAmount
from cowslipstep.metrics._counters import CounterKey, Counters, Sample
from cowslipstep.metrics._day import MergedDay, merge_day, utc_day
from cowslipstep.metrics._durations import DurationHistogram, empty_histogram
from cowslipstep.metrics._events import Event, EventLog
from cowslipstep.metrics._gauges import Gauges
from cowslipstep.metrics._histograms import EncodedSeries, Histograms, Series
from cowslipstep.metrics._index import StatusIndex, decode_index, encode_index
from cowslipstep.metrics._model_histograms import ModelHistograms, ModelSeries
from cowslipstep.metrics._requests import RequestLog, RequestRecord
from cowslipstep.metrics._size_limit import MAX_STATUS_BYTES, encode_bounded
from cowslipstep.metrics._status import (
    DaemonIdentity,
    Status,
    decode_status,
    encode_status,
)
from cowslipstep.metrics._timeline import (
    TIMELINE_SLOT_S,
    RequestTimeline,
    TimeSlotCount,
    TimeSlotKey,
)
