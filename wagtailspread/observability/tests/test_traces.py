"""Propagation of the trace context, and export of spans to a file."""

import json

from wagtailspread.observability import traces


def test_next_hop_continues_the_trace(tmp_path):
    """Guards against lost spans and against a new trace at each hop."""
    path = tmp_path / 'spans.jsonl'
    tracing = traces.create_tracing(
        traces.TraceSettings('h1', 1.0, str(path)),
    )
    with tracing.start_span('entry', '') as outer:
        with tracing.start_span('allocation', outer.header) as inner:
            inner.set_attribute('upstream', 'u1')
    tracing.close()
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    assert {span['name'] for span in spans} == {'entry', 'allocation'}
    assert len({span['context']['trace_id'] for span in spans}) == 1


def test_malformed_header_starts_a_new_trace():
    """Guards against an uncaught error for the header of a caller."""
    tracing = traces.create_tracing(traces.TraceSettings('h1', 1.0))
    with tracing.start_span('entry', 'not a trace header') as span:
        assert span.header.startswith('00-')


def test_unsampled_trace_context_is_propagated_unchanged():
    """Guards against losing the trace context of a caller."""
    tracing = traces.create_tracing(traces.TraceSettings('h1', 1.0))
    header = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00'
    with tracing.start_span('entry', header) as span:
        assert span.header == header


def test_request_outside_the_sample_starts_no_trace():
    """Guards against the cost of spans for requests that are not sampled."""
    tracing = traces.create_tracing(traces.TraceSettings('h1', 0.0))
    with tracing.start_span('entry', '') as span:
        span.set_attribute('upstream', 'u1')
        assert not span.header
