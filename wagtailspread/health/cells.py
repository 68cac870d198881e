"""Layout of the cells of evidence, and their update by single results.

Cells are slices of one array of single-precision numbers, since 31,000
upstreams with four failure domains each have to fit in a few megabytes.
"""

import array
import math
import typing

#: Fields that decay with the fast window.
FAST, FAST_FAILURES, FAST_ANSWERED = range(3)
#: Fields that decay with the slow window.
SLOW, SLOW_FAILURES, SLOW_ANSWERED = range(3, 6)
#: Count, sum and sum of squares of the logarithms of the response times, in
#: seconds, of successes.
TIMES, TIMES_SUM, TIMES_SQUARES = range(6, 9)
#: Number of the fields above, all of which are windows.
WINDOW_FIELDS = 9
#: The run of failures, with its cumulative sum.
RUN, RUN_FAILURES, RUN_ANSWERED, RUN_SUM = range(9, 13)
#: The run of slow answers ("late" run): count, sum of logarithms, cumulative
#: sum. It has nothing to do with the slow window.
LATE, LATE_TOTAL, LATE_SUM = range(13, 16)
#: Timestamps, in seconds since the epoch of the table.
ONSET, LAST_SUCCESS, LAST_FAILURE, LATE_ONSET = range(16, 20)
TIMESTAMP_FIELDS = (ONSET, LAST_SUCCESS, LAST_FAILURE, LATE_ONSET)
#: Number of all fields.
FIELDS = 20

#: Weight of a failure and of a success in the cumulative sum: logarithms of
#: the ratios of 0.4 to 0.03 and of 0.6 to 0.97. A share of failures above
#: 0.16 makes the sum grow.
FAILURE_WEIGHT = math.log(0.4 / 0.03)
SUCCESS_WEIGHT = math.log(0.6 / 0.97)
#: Largest cumulative sum. It ends a run soon after the fault, by 17 successes
#: in a row.
MAX_SUM = 8.0


def create_totals() -> list[float]:
    """Return zero for each window field, to sum them over all upstreams."""
    return [float() for _ in range(WINDOW_FIELDS)]


def add_window_success(
    cells: typing.MutableSequence[float],
    base: int,
    logarithm: float,
) -> None:
    """Count a success in the windows of the cell at ``base``."""
    cells[base + FAST] += 1
    cells[base + SLOW] += 1
    cells[base + TIMES] += 1
    cells[base + TIMES_SUM] += logarithm
    cells[base + TIMES_SQUARES] += logarithm * logarithm


def add_window_failure(
    cells: typing.MutableSequence[float],
    base: int,
    is_answer: bool,
) -> None:
    """Count a failure in the windows of the cell at ``base``."""
    cells[base + FAST] += 1
    cells[base + FAST_FAILURES] += 1
    cells[base + SLOW] += 1
    cells[base + SLOW_FAILURES] += 1
    if is_answer:
        cells[base + FAST_ANSWERED] += 1
        cells[base + SLOW_ANSWERED] += 1


def add_run_success(
    cells: 'array.array[float]',
    base: int,
    timestamp: float,
) -> None:
    """Count a success in the run of failures; reset the run at sum zero.

    :param timestamp: seconds since the epoch of the table.
    """
    cells[base + LAST_SUCCESS] = timestamp
    if not cells[base + RUN]:
        return
    remaining = cells[base + RUN_SUM] + SUCCESS_WEIGHT
    if remaining > 0:
        cells[base + RUN_SUM] = remaining
        cells[base + RUN] += 1
        return
    cells[base + RUN_SUM] = 0
    cells[base + RUN] = 0
    cells[base + RUN_FAILURES] = 0
    cells[base + RUN_ANSWERED] = 0


def add_run_failure(
    cells: 'array.array[float]',
    base: int,
    is_answer: bool,
    timestamp: float,
) -> None:
    """Count a failure in the run, which it starts if there is none.

    :param is_answer: whether the upstream sent an error answer.
    :param timestamp: seconds since the epoch of the table.
    """
    if not cells[base + RUN]:
        cells[base + ONSET] = timestamp
    cells[base + LAST_FAILURE] = timestamp
    cells[base + RUN] += 1
    cells[base + RUN_FAILURES] += 1
    if is_answer:
        cells[base + RUN_ANSWERED] += 1
    grown = cells[base + RUN_SUM] + FAILURE_WEIGHT
    cells[base + RUN_SUM] = min(grown, MAX_SUM)


def update_late_run(
    cells: 'array.array[float]',
    base: int,
    logarithm: float,
    excess: float,
    timestamp: float,
) -> None:
    """Count an answer in the run of slow answers; reset it at sum zero.

    :param logarithm: logarithm of the response time in seconds.
    :param excess: difference of the logarithm and the limit of slow answers.
    :param timestamp: seconds since the epoch of the table.
    """
    if not cells[base + LATE]:
        if excess <= 0:
            return
        cells[base + LATE_ONSET] = timestamp
        cells[base + LATE_TOTAL] = 0
        cells[base + LATE_SUM] = 0
    remaining = cells[base + LATE_SUM] + excess
    if remaining <= 0:
        cells[base + LATE] = 0
        return
    cells[base + LATE_SUM] = min(remaining, MAX_SUM)
    cells[base + LATE] += 1
    cells[base + LATE_TOTAL] += logarithm


def grow(cells: 'array.array[float]', fields: int) -> None:
    """Append fields of value zero."""
    cells.frombytes(bytes(fields * cells.itemsize))


def widen(cells: 'array.array[float]', width: int) -> 'array.array[float]':
    """Return the cells with one more cell in each row of ``width`` cells."""
    wider = array.array('f')
    for start in range(0, len(cells), width * FIELDS):
        wider.extend(cells[start : start + width * FIELDS])
        grow(wider, FIELDS)
    return wider
