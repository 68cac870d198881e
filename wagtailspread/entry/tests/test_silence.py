"""Tests of the evidence for and against silent connections."""

from wagtailspread.entry import executions, silence


class Pool:
    """Stand-in for a pool with given connection records."""

    def __init__(self, *records):
        self.generation = 1
        self._records = list(records)

    def list_records(self):
        return self._records


def create_exchange(generation=0, *, is_reused=True):
    record = executions.ConnectionRecord(generation, opened_at=5.0)
    progress = executions.AttemptProgress(True, is_reused, connection=record)
    return silence.MonitoredExchange(progress, 10.0, None, None)


def create_record(opened_at, succeeded_at):
    return executions.ConnectionRecord(1, opened_at, succeeded_at)


WORKING_NEW_RECORD = create_record(11.0, 12.0)


def test_working_new_connection_is_evidence_for_silence():
    """Guards against upstreams that are blamed for silent connections."""
    detector = silence.SilenceDetector()
    assert detector.detect_silence(
        Pool(WORKING_NEW_RECORD), create_exchange(), 13.0
    )


def test_without_working_new_connection_no_silence_is_detected():
    """Guards against a hanging upstream that is not reported."""
    detector = silence.SilenceDetector()
    assert not detector.detect_silence(Pool(), create_exchange(), 13.0)
    early = create_record(9.0, 12.0)
    assert not detector.detect_silence(Pool(early), create_exchange(), 13.0)


def test_working_old_connection_is_evidence_against_silence():
    """Guards against random hangs that are taken for silent connections."""
    pool = Pool(WORKING_NEW_RECORD, create_record(4.0, 12.0))
    assert not silence.SilenceDetector().detect_silence(
        pool, create_exchange(), 13.0
    )


def test_timeout_on_new_connection_is_evidence_against_silence():
    """Guards against random hangs that are taken for silent connections."""
    detector = silence.SilenceDetector()
    pool = Pool(WORKING_NEW_RECORD)
    on_new_connection = create_exchange(is_reused=False)
    assert not detector.detect_silence(pool, on_new_connection, 12.5)
    assert not detector.detect_silence(pool, create_exchange(), 13.0)
    later = 13.0 + silence.RETENTION_SECONDS
    assert detector.detect_silence(pool, create_exchange(), later)


def test_only_one_generation_per_period_counts_as_silent():
    """Guards against an upstream that hangs on every old connection."""
    detector = silence.SilenceDetector()
    pool = Pool(WORKING_NEW_RECORD)
    assert detector.detect_silence(pool, create_exchange(0), 13.0)
    assert detector.detect_silence(pool, create_exchange(0), 13.1)
    assert not detector.detect_silence(pool, create_exchange(1), 14.0)
    later = 13.0 + silence.RETENTION_SECONDS
    assert detector.detect_silence(pool, create_exchange(1), later)
