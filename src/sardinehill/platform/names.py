"""Names on the platform's wire, and what each means to the project."""

SETTINGS_VARIABLE = "SARDINEHILL_SETTINGS"

# Header names, in lower case.
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
# The caller's secret, not a credential of the platform.
ACCOUNT_KEY = b"x-credential"
CLIENT_ACCOUNT = b"x-tenant-id"
UPSTREAM_ID = b"x-expect-instance"
SHARD_KEY = b"x-shard-key"
# Proves which upstream made an answer.
RESPONSE_STAMP = b"x-response-stamp"
NOT_RUN = b"x-not-executed"
LOAD = b"x-server-load"
COLD_MS = b"x-cold-ms"
HANDOVER = b"x-handover"
ANSWERING_UPSTREAM_ID = b"x-instance-id"
RETRY_AFTER = b"retry-after"

# Kinds of objects that the platform defines.
CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAMS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"

IDEMPOTENT = "idempotent"
READY = "ready"
DRAINING = "draining"
