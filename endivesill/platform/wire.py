"""Names on the platform's wire, each with what it holds."""

# Headers. HTTP header names are compared in lower case.

# Names one attempt of a caller; a caller's own retry has another one.
ATTEMPT_ID = b"x-endivesill-request-attempt-id"
# Milliseconds that the caller will still wait.
DEADLINE = b"x-endivesill-deadline-remaining"
# "ID:TOKENS,..." from the start of the prompt; the last part is the session's.
PROMPT_PREFIX = b"x-endivesill-prompt-prefix"
# "PROMPT,MAXIMUM": prompt tokens and the most output tokens.
TOKEN_COUNTS = b"x-endivesill-token-counts"
# The caller's estimate of the output tokens; right at the median only.
LENGTH_HINT = b"x-endivesill-length-hint"
# The engine did not run the request and will not.
NOT_EXECUTED = b"x-endivesill-not-executed"
# The identity that the engine must have to run the request.
EXPECTED_INSTANCE = b"x-endivesill-expected-instance"
# Name of the organisation that holds the request's key.
ORGANISATION = b"x-endivesill-tenant"
API_KEY = b"api-key"
# 0 (first) to 9.
URGENCY = b"x-endivesill-request-urgency"
# HOST:PORT of the engine that gets a copy of the run's memory.
KV_BACKUP = b"x-endivesill-kv-backup"
# HOST:PORT/ID of a copy to go on from.
KV_FROM = b"kv-from"
KV_FETCH = b"kv-fetch"
HOLD = b"x-endivesill-hold"
PIN_DURATION = b"x-endivesill-pin-duration"
LAST_EVENT_ID = b"last-event-id"
RETRY_AFTER = b"retry-after"
# On the answer of a health check: the identity of the engine that answers.
INSTANCE_ID = b"x-endivesill-instance-id"

# What only this system may set on a request to an engine.
SYSTEM_HEADERS = frozenset(
    {
        API_KEY,
        DEADLINE,
        EXPECTED_INSTANCE,
        HOLD,
        KV_BACKUP,
        KV_FETCH,
        KV_FROM,
        ORGANISATION,
        PIN_DURATION,
        URGENCY,
    }
)

# Calls to this system.
REPLACE_PATH = b"/Configuration.Replace"
READ_PATH = b"/Configuration.Get"
EVACUATE_PREFIX = b"/Evacuation.Start/"
TAKE_BACK_PREFIX = b"/Evacuation.End/"

# Calls to the platform and to engines.
LIST_PATH = "/instances"
REPORT_PATH = "/report"
MOVE_PATH = b"/kv-move"
COPY_PREFIX = b"/kv-handle/"

SETTINGS_VARIABLE = "ENDIVESILL_NODE_FILE"
SETTINGS_PATH = "/etc/endivesill/local.toml"
