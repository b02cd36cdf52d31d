"""Minute records and metrics."""

from plantainstage._reports.metrics import (
    Metric,
    Metrics,
    NullMetrics,
    StatsdMetrics,
    make_metrics,
)
from plantainstage._reports.minute_log import (
    log_all_minutes,
    log_due_minutes,
    log_minute,
)
from plantainstage._reports.recorder import MinuteRecorder, encode_kept
from plantainstage._reports.records import (
    HostMinute,
    HostMinutes,
    MinuteRecord,
    RefusalCount,
    merge_all,
    merge_records,
)

__all__ = [
    "HostMinute",
    "Metric",
    "Metrics",
    "NullMetrics",
    "StatsdMetrics",
    "make_metrics",
    "HostMinutes",
    "MinuteRecord",
    "MinuteRecorder",
    "RefusalCount",
    "encode_kept",
    "log_all_minutes",
    "log_due_minutes",
    "log_minute",
    "merge_all",
    "merge_records",
]
