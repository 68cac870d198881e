"""Takes finished requests to the log and the metrics."""

from wagtailspread.core import identifiers, outcomes
from wagtailspread.entry import interfaces
from wagtailspread.observability import logs, metrics

_LOGGER = logs.get_logger('request')


class RequestObserver:
    """Logs and counts finished requests.

    Only requests that the fleet answered itself, or whose transfer broke, are
    logged above the debug level: an answered request is in the metrics.
    """

    def __init__(
        self,
        host: identifiers.HostId,
        host_metrics: metrics.Metrics,
    ) -> None:
        """Keep where records go."""
        self._host = host
        self._metrics = host_metrics

    def note_request(self, record: interfaces.RequestRecord) -> None:
        """Take one finished request."""
        priority = record.route.priority.name.lower()
        self._metrics.count('requests', priority, record.outcome or 'broken')
        self._metrics.record_seconds(priority, record.seconds)
        if record.outcome == outcomes.Outcome.UPSTREAM.value:
            return
        self._metrics.count('refusals', priority, record.reason or 'broken')
        _LOGGER.info(
            f'request {record.outcome or "broken"}',
            extra={
                'route': record.route.name,
                'service': record.route.service,
                'priority': priority,
                'caller': record.caller,
                'reason': record.reason,
                'status': record.status,
                'attempts': record.attempts,
                'seconds': round(record.seconds, 4),
            },
        )
