"""The platform's names, as they stand on the wire."""

ATTEMPT_ID = 'swiftjunction-attempt-id'
DEADLINE_MS = 'swiftjunction-deadline-ms'
SIGNATURE = 'swiftjunction-response-signature'
EXPECT_INSTANCE = 'swiftjunction-expect-instance'
INSTANCE_ID = 'swiftjunction-instance-id'
NOT_EXECUTED = 'swiftjunction-not-executed'
WAIT_MS = 'swiftjunction-wait-ms'
WEIGHT_VERSIONS = 'swiftjunction-weight-versions'
LENGTH_HINT = 'swiftjunction-length-hint'
TOKEN_USAGE = 'swiftjunction-token-usage'
LAST_EVENT_ID = 'last-event-id'
RETRY_AFTER = 'retry-after'

READY_PATH = '/ready'
RESOLVE_PATH = '/resolve'
RESULTS_PREFIX = '/lots/'
BODIES_PREFIX = '/items/'
OBJECTS_PREFIX = '/objects/'
REPORT_PATH = '/report'
ORDER_PATH = '/order'

CONFIG_KIND = 'config'
SERVERS_KIND = 'servers'
VERSIONS_KIND = 'versions'
RETIREMENTS_KIND = 'retirements'

SETTINGS_VARIABLE = 'SWIFTJUNCTION_NODE_FILE'
MS_PER_SECOND = 1000.0
