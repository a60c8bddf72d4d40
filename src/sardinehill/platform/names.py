"""Names that the platform defines: headers, object kinds and values."""

SETTINGS_VARIABLE = "SARDINEHILL_SETTINGS"

# Header names, in lower case.
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
# The caller's account key, not a credential of the platform.
ACCOUNT_KEY = b"x-credential"
CLIENT_ACCOUNT = b"x-tenant-id"
UPSTREAM_ID = b"x-expect-instance"
SHARD_KEY = b"x-shard-key"
# Present in every answer that an upstream has made itself.
RESPONSE_STAMP = b"x-response-stamp"
NOT_RUN = b"x-not-executed"
LOAD = b"x-server-load"
COLD_MS = b"x-cold-ms"
# The requests a second that the upstream takes from all daemons together.
RATE_LIMIT = b"server-limit"
# Present in all answers of an upstream that is leaving.
LEAVING = b"server-leaving"
HANDOVER = b"x-handover"
ANSWERING_UPSTREAM_ID = b"x-instance-id"
RETRY_AFTER = b"retry-after"
# In all answers of the store; rises by one each time it is restored.
STORE_ERA = b"store-era"

# Kinds and names of the platform's objects.
CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAMS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"

IDEMPOTENT = "idempotent"
READY = "ready"
DRAINING = "draining"
