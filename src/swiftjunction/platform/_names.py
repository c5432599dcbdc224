"""Headers, paths, object kinds and variables that the platform defines."""

ATTEMPT_ID_HEADER = 'swiftjunction-attempt-id'
DEADLINE_MS_HEADER = 'swiftjunction-deadline-ms'
SIGNATURE_HEADER = 'swiftjunction-response-signature'
EXPECT_INSTANCE_HEADER = 'swiftjunction-expect-instance'
INSTANCE_ID_HEADER = 'swiftjunction-instance-id'
NOT_EXECUTED_HEADER = 'swiftjunction-not-executed'
WAIT_MS_HEADER = 'swiftjunction-wait-ms'
WEIGHT_VERSIONS_HEADER = 'swiftjunction-weight-versions'
LENGTH_HINT_HEADER = 'swiftjunction-length-hint'
TOKEN_USAGE_HEADER = 'swiftjunction-token-usage'
LAST_EVENT_ID_HEADER = 'last-event-id'
RESUMES_HEADER = 'resumes'
RETRY_AFTER_HEADER = 'retry-after'
SERVER_LEAVING_HEADER = 'server-leaving'
SERVER_LIMIT_HEADER = 'server-limit'
KEY_HEADER = 'swiftjunction-credential'
ORGANISATION_HEADER = 'swiftjunction-tenant-id'
DUTY_HOLDER_HEADER = 'swiftjunction-duty-holder'
FENCING_TOKEN_HEADER = 'swiftjunction-fencing-token'

READY_PATH = '/ready'
RESOLVE_PATH = '/resolve'
RESULTS_PATH_PREFIX = '/lots/'
BODIES_PATH_PREFIX = '/items/'
BATCH_PATH_PREFIXES = (RESULTS_PATH_PREFIX, BODIES_PATH_PREFIX)
OBJECTS_PATH_PREFIX = '/objects/'
REPORT_PATH = '/report'
ORDER_PATH = '/order'
USAGE_PATH = '/usage'
SCALE_PATH = '/scale'

USAGE_DUTY = 'usage_report'
SCALING_DUTY = 'autoscale'

CONFIG_KIND = 'config'
SERVERS_KIND = 'servers'
VERSIONS_KIND = 'versions'
RETIREMENTS_KIND = 'retirements'

SETTINGS_PATH_VARIABLE = 'SWIFTJUNCTION_NODE_FILE'
MS_PER_SECOND = 1000.0
