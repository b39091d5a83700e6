"""Names that the platform defines: headers, object kinds, the settings variable."""

SETTINGS_VARIABLE = "BENDSHED_BOOT"

# Request headers, in lower case.
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
PROGRAM_ID = b"x-program-id"
SESSION_ID = b"x-session-id"
TOKEN_BUDGET = b"x-token-budget"
TOKEN_COUNTS = b"x-token-counts"
PROMPT_PARTS = b"x-prompt-prefix"
PREVIOUS_TURN = b"x-previous-turn"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
EXPECT_RUNNER = b"x-expect-instance"
URGENCY = b"x-urgency"
NOT_RUN = b"x-not-run"
SERVER_STAMP = b"x-server-stamp"
AUTHORIZATION = b"authorization"
TENANT = b"x-tenant"
AFFINITY = b"x-affinity-key"

CREDENTIAL_SCHEME = "token"
"""Scheme of the authorization header, in lower case."""

SYSTEM_HEADERS = frozenset(
    {
        EXPECT_RUNNER,
        URGENCY,
        TENANT,
        b"x-expect-version",
        b"x-pin-ms",
        b"x-hold",
        b"kv-fetch",
        b"kv-from",
        b"x-kv-backup",
    }
)
"""Headers that only the system may set; they are removed from clients' requests."""

OTHER_RUNNER_STATUS = 421
REPORT_PATH = b"/report"
MOST_URGENT, LEAST_URGENT = 0, 9

# Fields and query parameters of the metadata store's API.
HAS_MORE = "hasMore"
WAIT_MS = "waitMs"
STALE = "stale=1"

# Object kinds in the metadata store.
RUNNER_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
RETIREMENT_KIND = "retirements"
CLOSED_ZONE_KIND = "evacuations"

# Object kinds that this product creates.
REPLICA_KIND = "bendshed-replicas"
GROUP_KIND = "bendshed-groups"
TURN_GROUP_NAME = "turns"
"""Bootstrap record of the turn log's first group; other groups append their number."""


def turn_group_name(group_id: int) -> str:
    """Return the name of a group's bootstrap record."""
    return TURN_GROUP_NAME if group_id == 0 else f"{TURN_GROUP_NAME}-{group_id}"
