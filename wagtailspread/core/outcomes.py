"""Outcomes of requests and results of single exchanges with an upstream."""

import enum

#: Response header that carries the :class:`Outcome`.
OUTCOME_HEADER = 'Wagtailspread-Outcome'
#: Response header that carries the reason of a refusal.
REASON_HEADER = 'Wagtailspread-Reason'
#: Response header by which an upstream says that it did not run a request.
SHED_HEADER = 'Wagtailspread-Shed'
#: Request header that carries the time left, in milliseconds.
DEADLINE_HEADER = 'Wagtailspread-Deadline-Ms'
#: Request header that names the caller.
CALLER_HEADER = 'Wagtailspread-Caller'
#: Request header that carries the idempotency key.
KEY_HEADER = 'Idempotency-Key'


class Outcome(enum.Enum):
    """What the fleet knows about a request when it answers the caller."""

    #: No attempt reached an upstream in a way that could have started it.
    NOT_RUN = 'not-run'
    #: An attempt may have run; its effect is not known.
    UNKNOWN = 'unknown'
    #: Another attempt with the same idempotency key is running.
    IN_PROGRESS = 'in-progress'
    #: The answer is the upstream's own.
    UPSTREAM = 'upstream'


class ExchangeResult(enum.IntEnum):
    """How one exchange with an upstream ended."""

    SUCCESS = 0
    #: A 5xx answer.
    ERROR = 1
    #: No progress before the deadline.
    TIMEOUT = 2
    #: The connection was lost after the request had been sent.
    RESET = 3
    #: The answer's body ended early.
    TRUNCATED = 4
    #: The upstream refused to run the request.
    SHED = 5
    #: No connection could be opened; nothing was sent.
    CONNECT_FAILED = 6
    #: An older connection made no progress while a new one worked.
    SILENT = 7
    #: The caller went away.
    CANCELLED = 8


class RefusalReason(enum.Enum):
    """Why a request was refused."""

    QUEUE_FULL = 'queue-full'
    DEADLINE_UNREACHABLE = 'deadline-unreachable'
    NO_CAPACITY = 'no-capacity'
    RETRY_BUDGET = 'retry-budget'
    QUARANTINED = 'quarantined'
    UNKNOWN_SERVICE = 'unknown-service'
    KEY_REQUIRED = 'key-required'
    KEY_STORE_UNREACHABLE = 'key-store-unreachable'
    KEY_STORE_FULL = 'key-store-full'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    #: The request came too slowly, by the fault of its caller, link or host.
    REQUEST_TIMEOUT = 'request-timeout'
    DRAINING = 'draining'
    LINK_BUDGET = 'link-budget'
    UNSUPPORTED_METHOD = 'unsupported-method'
