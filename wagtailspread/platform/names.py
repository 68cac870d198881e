"""Names in the platform's interfaces: headers, paths and a variable."""

from wagtailspread.gateway import headers

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'WAGTAILSPREAD_BOOT'

#: Path of the load balancer's readiness check.
READY_PATH = '/wagtailspread/ready'
#: Prefix of the paths that an upstream calls; the id of the upstream follows.
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
    leaving='Server-Leaving',
    # The platform calls a workspace a tenant.
    workspace='Tenant',
)
