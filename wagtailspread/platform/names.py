"""Names of the platform's wire: headers, paths and the settings variable."""

from wagtailspread.gateway import headers

#: Variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'WAGTAILSPREAD_BOOT'

#: Question of the balancer.
READY_PATH = '/wagtailspread/ready'
#: Prefix of what an upstream says of itself; its id follows.
INSTANCES_PREFIX = '/wagtailspread/instances/'
HEARTBEAT_SUFFIX = '/heartbeat'
LEAVE_SUFFIX = '/leave'
PUT_PATH = '/wagtailspread/config/put'
GET_PATH = '/wagtailspread/config/get'

HEADERS = headers.HeaderNames(
    attempt='Attempt-Id',
    deadline='Deadline-Ms',
    signature='Response-Signature',
    # The platform calls one start of an upstream an instance.
    expected_upstream='Expected-Instance',
    not_run='Not-Executed',
)
