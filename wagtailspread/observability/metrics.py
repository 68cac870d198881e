"""Metrics in the text format that monitoring systems scrape.

Counters and gauges are those of ``prometheus_client``. Durations are recorded
in ``hdrhistogram``, which has a fixed relative error at every quantile, and
are exported as summaries.

>>> host_metrics = create_metrics('h1')
>>> host_metrics.count('requests', 'urgent', 'upstream')
>>> host_metrics.record_seconds('urgent', 0.25)
>>> 'wagtailspread_requests_total' in host_metrics.render().decode()
True

References: hdrhistogram; the Prometheus text exposition format.
"""

import typing

from hdrh import histogram
from prometheus_client import exposition, metrics, metrics_core, registry

#: Maximum recorded duration, in microseconds; longer ones count as this one.
MAX_MICROS = 120_000_000
_SIGNIFICANT_DIGITS = 2
_MICROS_PER_SECOND = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_PREFIX = 'wagtailspread_'


class DurationCollector(registry.Collector):
    """Durations by priority, as summaries."""

    def __init__(self, host: str) -> None:
        """Create a collector without durations."""
        self._host = host
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def record(self, priority: str, seconds: float) -> None:
        """Add one duration."""
        durations = self._histograms.get(priority)
        if durations is None:
            durations = create_histogram()
            self._histograms[priority] = durations
        micros = int(seconds * _MICROS_PER_SECOND)
        durations.record_value(min(max(micros, 1), MAX_MICROS))

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yield the summaries for a scrape."""
        name = f'{_PREFIX}request_seconds'
        family = metrics_core.Metric(name, 'Time to answer.', 'summary')
        for priority, durations in sorted(self._histograms.items()):
            labels = {'host': self._host, 'priority': priority}
            for quantile in _QUANTILES:
                micros = durations.get_value_at_percentile(quantile * 100)
                family.add_sample(
                    name,
                    {**labels, 'quantile': str(quantile)},
                    micros / _MICROS_PER_SECOND,
                )
            family.add_sample(
                f'{name}_count', labels, durations.get_total_count()
            )
        yield family


class Metrics:
    """The metrics of one process. Use :func:`create_metrics`."""

    def __init__(self, host: str) -> None:
        """Create all counters with the value zero."""
        self._host = host
        self._registry = registry.CollectorRegistry()
        self._durations = DurationCollector(host)
        self._registry.register(self._durations)
        self._counters = {
            'requests': self._create_counter(
                'requests',
                'Requests by priority and outcome.',
                ('priority', 'outcome'),
            ),
            'refusals': self._create_counter(
                'refusals',
                'Refused requests by priority and reason.',
                ('priority', 'reason'),
            ),
            'refused_keys': self._create_counter(
                'refused_keys',
                'Requests refused for their key by status.',
                ('status',),
            ),
            'exchanges': self._create_counter(
                'exchanges',
                'Results by service; an overdue exchange adds a timeout.',
                ('service', 'result'),
            ),
            'ejections': self._create_counter(
                'ejections',
                'Ejections by service and reason.',
                ('service', 'reason'),
            ),
            'region_bytes': self._create_counter(
                'region_bytes',
                'Bytes of spilled requests between regions, both ways.',
                ('priority',),
            ),
        }
        # Cached, since a look-up by labels costs more than an increment.
        self._children: dict[tuple[str, ...], metrics.Counter] = {}
        self._gauges: dict[str, metrics.Gauge] = {}

    def count(self, name: str, *labels: str, amount: float = 1) -> None:
        """Increment a counter.

        :param name: ``requests``, ``refusals``, ``refused_keys``,
            ``exchanges``, ``ejections`` or ``region_bytes``.
        :param labels: values of the labels of this counter except the host.
        """
        child = self._children.get((name, *labels))
        if child is None:
            child = self._counters[name].labels(self._host, *labels)
            self._children[name, *labels] = child
        child.inc(amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge; the first call for a name creates it."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = metrics.Gauge(
                f'{_PREFIX}{name}',
                name.replace('_', ' '),
                ('host',),
                registry=self._registry,
            )
            self._gauges[name] = gauge
        gauge.labels(self._host).set(value)

    def record_seconds(self, priority: str, seconds: float) -> None:
        """Record the duration of one request."""
        self._durations.record(priority, seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return exposition.generate_latest(self._registry)

    def _create_counter(
        self,
        name: str,
        documentation: str,
        labels: tuple[str, ...],
    ) -> metrics.Counter:
        return metrics.Counter(
            f'{_PREFIX}{name}',
            documentation,
            ('host', *labels),
            registry=self._registry,
        )


def create_metrics(host: str) -> Metrics:
    """Return the metrics of the process on this host."""
    return Metrics(host)


def create_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return histogram.HdrHistogram(1, MAX_MICROS, _SIGNIFICANT_DIGITS)
