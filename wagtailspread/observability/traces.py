"""Traces: a span for each hop, with propagation of the W3C trace context.

Spans are written to a file as JSON lines, sent to a collector over OTLP, or
both. The sampling ratio limits their cost; a request that its caller marks as
sampled is always traced.

>>> tracing = create_tracing(TraceSettings(host='h1', sample_ratio=1.0))
>>> with tracing.start_span('entry', '') as span:
...     header = span.header
>>> header.startswith('00-')
True

References: W3C Trace Context; OpenTelemetry SDK.
"""

import contextlib
import dataclasses
import json
import pathlib
import random
import typing

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

#: Header of the W3C trace context.
TRACE_HEADER = 'traceparent'
#: Suffix of a ``traceparent`` whose trace is not recorded.
_UNSAMPLED_SUFFIX = '-00'
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


@dataclasses.dataclass(frozen=True, slots=True)
class TraceSettings:
    """Sampling and destinations of spans.

    :param sample_ratio: share of the requests that are traced, 0 to 1; a
        request with a trace context follows its caller instead.
    :param path: file for JSON lines; empty for none.
    :param collector: OTLP over HTTP address of a collector; empty for none.
    """

    host: str
    sample_ratio: float = 0.01
    path: str = ''
    collector: str = ''


class Span:
    """A recorded hop of a request."""

    __slots__ = ('_span',)

    def __init__(self, span: trace.Span) -> None:
        """Wrap a span."""
        self._span = span

    @property
    def header(self) -> str:
        """Return the ``traceparent`` for the next hop."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(self._span))
        return carrier.get(TRACE_HEADER, '')

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(name, value)


class UnsampledSpan:
    """A hop that is not recorded; its header is that of the previous hop."""

    __slots__ = ('header',)

    def __init__(self, header: str) -> None:
        """Store the header of the previous hop."""
        self.header = header

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Ignore the attribute."""


class Tracing:
    """Creates the spans of one process. Use :func:`create_tracing`.

    Requests that are not traced get no OpenTelemetry span at all, since an
    unsampled one costs as much as a decision of the allocator.
    """

    def __init__(
        self,
        provider: sdk_trace.TracerProvider,
        files: contextlib.ExitStack,
        sample_ratio: float,
    ) -> None:
        """Store the provider of spans and the files to close at the end."""
        self._provider = provider
        self._files = files
        self._sample_ratio = sample_ratio
        self._tracer = provider.get_tracer('wagtailspread')

    def start_span(
        self,
        name: str,
        parent_header: str,
    ) -> contextlib.AbstractContextManager[Span | UnsampledSpan]:
        """Open a span for the duration of a ``with`` block.

        :param parent_header: ``traceparent`` of the previous hop, or empty.
        """
        if parent_header:
            is_traced = not parent_header.endswith(_UNSAMPLED_SUFFIX)
        else:
            is_traced = random.random() < self._sample_ratio
        if is_traced:
            return self._start_traced(name, parent_header)
        return contextlib.nullcontext(UnsampledSpan(parent_header))

    def close(self) -> None:
        """Export the remaining spans and close the files."""
        self._provider.shutdown()
        self._files.close()

    @contextlib.contextmanager
    def _start_traced(
        self,
        name: str,
        parent_header: str,
    ) -> typing.Iterator[Span]:
        context = None
        if parent_header:
            context = _PROPAGATOR.extract({TRACE_HEADER: parent_header})
        span = self._tracer.start_span(name, context=context)
        try:
            yield Span(span)
        finally:
            span.end()


def create_tracing(settings: TraceSettings) -> Tracing:
    """Return the tracing of one process."""
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource({'host.name': settings.host}),
        sampler=sampling.ParentBased(sampling.ALWAYS_ON),
        shutdown_on_exit=False,
    )
    files = contextlib.ExitStack()
    if settings.path:
        exporter = export.ConsoleSpanExporter(
            out=files.enter_context(
                pathlib.Path(settings.path).open('a', encoding='utf-8'),
            ),
            formatter=_format_span,
        )
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
    if settings.collector:
        collector = trace_exporter.OTLPSpanExporter(settings.collector)
        provider.add_span_processor(export.BatchSpanProcessor(collector))
    return Tracing(provider, files, settings.sample_ratio)


def _format_span(span: sdk_trace.ReadableSpan) -> str:
    line = json.dumps(json.loads(span.to_json(indent=None)))
    return f'{line}\n'
