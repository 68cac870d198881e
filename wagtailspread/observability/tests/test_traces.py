"""Trace context crosses hops and spans reach the file."""

import json

from wagtailspread.observability import traces


def test_next_hop_continues_the_trace(tmp_path):
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
    tracing = traces.create_tracing(traces.TraceSettings('h1', 1.0))
    with tracing.start_span('entry', 'not a trace header') as span:
        assert span.header.startswith('00-')
