"""Counters, gauges and hdrhistogram recorders, exported as Prometheus text."""

from __future__ import annotations

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

__all__ = ["Counter", "Metrics", "Recorder"]

QUANTILES = (0.5, 0.95, 0.99, 0.999)
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2

Labels = tuple[tuple[str, str], ...]


class Counter:
    """A counter that only increases."""

    def __init__(self) -> None:
        self.value = 0.0

    def add(self, amount: float = 1.0) -> None:
        """Increase the counter; the amount must not be negative."""
        self.value += amount


class Recorder:
    """A histogram of durations with a resolution of 1 microsecond."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_FIGURES)
        self.sum_s = 0.0

    def record_s(self, duration_s: float) -> None:
        """Record one duration in seconds."""
        self.sum_s += duration_s
        self.histogram.record_value(max(1, int(duration_s * 1_000_000)))

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile (0 to 1) of the recorded durations, in seconds."""
        return self.histogram.get_value_at_percentile(100 * quantile) / 1_000_000

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return self.histogram.get_total_count()


class Metrics:
    """A process's metrics by name and labels."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], Counter] = {}
        self._recorders: dict[tuple[str, Labels], Recorder] = {}
        self._gauges: dict[tuple[str, Labels], Callable[[], float]] = {}

    def counter(self, name: str, **labels: str) -> Counter:
        """Return the counter with a name and labels; create it on first use."""
        key = (name, tuple(sorted(labels.items())))
        if key not in self._counters:
            self._counters[key] = Counter()
        return self._counters[key]

    def recorder(self, name: str, **labels: str) -> Recorder:
        """Return the recorder with a name and labels; create it on first use."""
        key = (name, tuple(sorted(labels.items())))
        if key not in self._recorders:
            self._recorders[key] = Recorder()
        return self._recorders[key]

    def gauge(self, name: str, read: Callable[[], float], **labels: str) -> None:
        """Register a function that reads the current value of a gauge."""
        self._gauges[name, tuple(sorted(labels.items()))] = read

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), counter in sorted(self._counters.items()):
            lines.append(_line(f"endivesill_{name}_total", labels, counter.value))
        for (name, labels), read in sorted(self._gauges.items()):
            lines.append(_line(f"endivesill_{name}", labels, read()))
        for (name, labels), recorder in sorted(self._recorders.items()):
            full_name = f"endivesill_{name}_seconds"
            for quantile in QUANTILES:
                with_quantile = (*labels, ("quantile", str(quantile)))
                value = recorder.quantile_s(quantile)
                lines.append(_line(full_name, with_quantile, value))
            lines.append(_line(f"{full_name}_sum", labels, recorder.sum_s))
            lines.append(_line(f"{full_name}_count", labels, recorder.count))
        return "\n".join(lines) + "\n"


def _line(name: str, labels: Labels, value: float) -> str:
    number = str(int(value)) if float(value).is_integer() else repr(float(value))
    if not labels:
        return f"{name} {number}"
    inner = ",".join(f'{key}="{_escape(text)}"' for key, text in labels)
    return f"{name}{{{inner}}} {number}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
