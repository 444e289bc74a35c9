"""Names of the platform's wire protocol and the meaning of their values."""

# Header names, in lower case for comparison.

# Id of one attempt of a caller; a retry by the caller has another id.
ATTEMPT_ID = b"x-endivesill-request-attempt-id"
# Milliseconds left until the caller's deadline.
DEADLINE = b"x-endivesill-deadline-remaining"
# "ID:TOKENS,..." for the parts of the prompt in order; the last is the session's.
PROMPT_PREFIX = b"x-endivesill-prompt-prefix"
# "PROMPT,MAXIMUM": number of prompt tokens and maximum of output tokens.
TOKEN_COUNTS = b"x-endivesill-token-counts"
# The caller's estimate of the output tokens; accurate only at the median.
LENGTH_HINT = b"x-endivesill-length-hint"
# The engine has not run the request and will not run it.
NOT_EXECUTED = b"x-endivesill-not-executed"
# In each response of an engine that has run the request.
RESPONSE_SEAL = b"x-endivesill-response-seal"
# Identity of the engine that must run the request; any other rejects it.
EXPECTED_INSTANCE = b"x-endivesill-expected-instance"
# Version of the weights that the caller wants; engines with others reject the request.
EXPECTED_VERSION = b"x-endivesill-expected-version"
# Name of the organisation to which the request's API key belongs.
ORGANISATION = b"x-endivesill-tenant"
API_KEY = b"api-key"
# 0 (most urgent) to 9.
URGENCY = b"x-endivesill-request-urgency"
# HOST:PORT of the engine that receives a copy of the run's KV cache.
KV_BACKUP = b"x-endivesill-kv-backup"
# HOST:PORT/ID of the copy from which the run resumes.
KV_FROM = b"kv-from"
KV_FETCH = b"kv-fetch"
HOLD = b"x-endivesill-hold"
PIN_DURATION = b"x-endivesill-pin-duration"
LAST_EVENT_ID = b"last-event-id"
# In a 503 of an engine: seconds for which it wants no request from this VM.
RETRY_AFTER = b"retry-after"
# In any response of an engine: present if it is about to leave.
SERVER_LEAVING = b"server-leaving"
# In responses of an engine in need: requests per second that it takes from all VMs
# together, for as long as its responses have the header.
SERVER_LIMIT = b"server-limit"
# In responses of an engine that falls over when it has to reject more requests a second
# than this, from all VMs together, for want of room.
SERVER_BRITTLE = b"server-brittle"
# In the response to a health check: identity of the responding engine.
INSTANCE_ID = b"x-endivesill-instance-id"

# Headers that only this system sets on a request to an engine; those that a
# caller sends are removed.
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

# Paths of the operators' calls to this system.
REPLACE_CONFIGURATION_PATH = b"/Configuration.Replace"
GET_CONFIGURATION_PATH = b"/Configuration.Get"
# Whether a data centre is evacuated after a call, by prefix of the call's path.
EVACUATION_PREFIXES = {b"/Evacuation.Start/": True, b"/Evacuation.End/": False}
START_ROLLOUT_PATH = b"/Rollouts.Start"
# The rest of the path is the service.
GET_ROLLOUT_PREFIX = b"/Rollouts.Get/"
# How a roll-out's state is written, by its value inside.
ROLLOUT_STATES = {
    "running": "running",
    "completed": "completed",
    "rolled-back": "rolled_back",
}
# Of an evacuation call, in the URL to which this system redirects a doubtful one.
CONFIRMED_INDEX_PARAMETER = b"confirmed-index"

# Paths of this system's calls to the platform and to engines.
ENGINE_LIST_PATH = "/instances"
REPORT_PATH = "/report"
KV_MOVE_PATH = b"/kv-move"
KV_HANDLE_PREFIX = b"/kv-handle/"

SETTINGS_VARIABLE = "ENDIVESILL_NODE_FILE"
SETTINGS_PATH = "/etc/endivesill/local.toml"
