"""Tests of the evidence for and against silent connections."""

from wagtailspread.entry import executions, silence


class Pool:
    """A pool with given records of connections."""

    def __init__(self, *records):
        self.generation = 1
        self._records = list(records)

    def list_records(self):
        return self._records


def create_stall(generation=0, *, is_reused=True):
    record = executions.ConnectionRecord(generation, opened_at=5.0)
    progress = executions.AttemptProgress(True, is_reused, connection=record)
    return silence.MonitoredExchange(progress, 10.0, None, None)


def create_record(opened_at, succeeded_at):
    return executions.ConnectionRecord(1, opened_at, succeeded_at)


WORKS_ANEW = create_record(11.0, 12.0)


def test_new_connection_that_works_shows_silence():
    """Guards against upstreams that are blamed for silent connections."""
    detector = silence.SilenceDetector()
    assert detector.detect_silence(Pool(WORKS_ANEW), create_stall(), 13.0)


def test_no_new_connection_that_works_shows_no_silence():
    """Guards against a hanging upstream that is not reported."""
    detector = silence.SilenceDetector()
    assert not detector.detect_silence(Pool(), create_stall(), 13.0)
    early = create_record(9.0, 12.0)
    assert not detector.detect_silence(Pool(early), create_stall(), 13.0)


def test_old_connection_that_still_works_speaks_against_silence():
    """Guards against random hangs that pass for silence."""
    pool = Pool(WORKS_ANEW, create_record(4.0, 12.0))
    assert not silence.SilenceDetector().detect_silence(
        pool, create_stall(), 13.0
    )


def test_timeout_on_a_new_connection_speaks_against_silence():
    """Guards against random hangs that pass for silence."""
    detector = silence.SilenceDetector()
    pool = Pool(WORKS_ANEW)
    fresh = create_stall(is_reused=False)
    assert not detector.detect_silence(pool, fresh, 12.5)
    assert not detector.detect_silence(pool, create_stall(), 13.0)
    later = 13.0 + silence.RETENTION_SECONDS
    assert detector.detect_silence(pool, create_stall(), later)


def test_only_one_generation_per_period_counts_as_silent():
    """Guards against an upstream that hangs on every old connection."""
    detector = silence.SilenceDetector()
    pool = Pool(WORKS_ANEW)
    assert detector.detect_silence(pool, create_stall(0), 13.0)
    assert detector.detect_silence(pool, create_stall(0), 13.1)
    assert not detector.detect_silence(pool, create_stall(1), 14.0)
    later = 13.0 + silence.RETENTION_SECONDS
    assert detector.detect_silence(pool, create_stall(1), later)
