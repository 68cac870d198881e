"""Outcomes of requests, and results of exchanges with an upstream."""

import enum

#: Response header with the :class:`Outcome`.
OUTCOME_HEADER = 'Wagtailspread-Outcome'
#: Response header with the reason of a refusal.
REASON_HEADER = 'Wagtailspread-Reason'
#: Response header by which an upstream reports that it did not run a request.
SHED_HEADER = 'Wagtailspread-Shed'
#: Request header with the id of one exchange, which an upstream returns.
EXCHANGE_HEADER = 'Wagtailspread-Exchange'
#: Request header with the remaining time until the deadline, in milliseconds.
DEADLINE_HEADER = 'Wagtailspread-Deadline-Ms'
#: Request header with the id of the caller.
CALLER_HEADER = 'Wagtailspread-Caller'
#: Request header with the idempotency key.
KEY_HEADER = 'Idempotency-Key'
#: Request header with the name of the workspace, which the host sets.
WORKSPACE_HEADER = 'Workspace'


class Outcome(enum.Enum):
    """Outcome of a request as reported to the caller."""

    #: No attempt can have started to run at an upstream.
    NOT_RUN = 'not-run'
    #: An attempt may have run; its result is not known.
    UNKNOWN = 'unknown'
    #: Another attempt with the same idempotency key is running.
    IN_PROGRESS = 'in-progress'
    #: The answer comes from the upstream.
    UPSTREAM = 'upstream'


class ExchangeResult(enum.IntEnum):
    """Result of one exchange with an upstream."""

    SUCCESS = 0
    #: The upstream sent a 5xx answer.
    ERROR = 1
    #: The exchange made no progress before the deadline.
    TIMEOUT = 2
    #: The connection was lost after the request had been sent.
    RESET = 3
    #: The connection ended before the whole body of the answer.
    TRUNCATED = 4
    #: The upstream refused to run the request.
    SHED = 5
    #: No connection could be opened; nothing was sent.
    CONNECT_FAILED = 6
    #: A reused connection made no progress while a new one worked.
    SILENT = 7
    #: The caller closed its connection.
    CANCELLED = 8


class RefusalReason(enum.Enum):
    """Reason for the refusal of a request."""

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
    #: The request arrived too slowly because of its caller, link or host.
    REQUEST_TIMEOUT = 'request-timeout'
    DRAINING = 'draining'
    LINK_BUDGET = 'link-budget'
    UNSUPPORTED_METHOD = 'unsupported-method'
    #: The request has no key of a workspace, or the key was taken away.
    UNKNOWN_KEY = 'unknown-key'
    #: The key of the request is not known, and the host may lag.
    NOT_CURRENT = 'not-current'
    #: A newer configuration has another workspace for the request.
    WORKSPACE_CHANGED = 'workspace-changed'
    #: The share of this host in the cap of the workspace is used up.
    OVER_CAP = 'over-cap'
