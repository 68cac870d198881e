"""Writes finished requests to the log and the metrics."""

from wagtailspread.core import outcomes, priorities
from wagtailspread.entry import interfaces, subscriptions
from wagtailspread.observability import logs, metrics

_LOGGER = logs.get_logger('request')
_BROKEN_OUTCOME = 'broken'


class KeyGuard:
    """Confirms the configuration of the host; logs and counts refused keys.

    Neither has the key or any other header of the request.
    """

    def __init__(
        self,
        subscription: subscriptions.Subscription,
        host_metrics: metrics.Metrics,
    ) -> None:
        """Create a guard that counts in ``host_metrics``."""
        self._subscription = subscription
        self._metrics = host_metrics

    async def confirm(self) -> bool:
        """Make sure that the host has the newest configuration."""
        return await self._subscription.confirm()

    def record_refused_key(self, status: int) -> None:
        """Log and count a request that was refused for its key."""
        self._metrics.count('refused_keys', str(status))
        _LOGGER.info('key refused', extra={'status': status})


class RequestObserver:
    """Logs and counts finished requests.

    A request that an upstream answered is only counted. A request that the
    fleet answered itself, or whose transfer was interrupted, is also logged.
    """

    def __init__(self, host_metrics: metrics.Metrics) -> None:
        """Create an observer that counts in ``host_metrics``."""
        self._metrics = host_metrics

    def count_link_bytes(
        self,
        priority: priorities.Priority,
        transferred: int,
    ) -> None:
        """Count bytes of a spilled request that crossed between regions."""
        name = priority.name.lower()
        self._metrics.count('region_bytes', name, amount=transferred)

    def record_request(self, record: interfaces.RequestRecord) -> None:
        """Count a finished request; log it if no upstream answered it."""
        priority = record.priority.name.lower()
        outcome = record.outcome or _BROKEN_OUTCOME
        self._metrics.count('requests', priority, outcome)
        self._metrics.record_seconds(priority, record.seconds)
        if outcome == outcomes.Outcome.UPSTREAM.value:
            return
        self._metrics.count('refusals', priority, record.reason or outcome)
        _LOGGER.info(
            f'request {outcome}',
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
