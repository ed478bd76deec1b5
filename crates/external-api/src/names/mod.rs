//! Names on the wire, as the OpenAPI files give them.
pub const REQUEST_ID: &str = "x-spokebank-request-id";
pub const DEADLINE: &str = "x-spokebank-deadline-ms";
pub const PREFIX: &str = "x-spokebank-prompt-prefix";
pub const STAMP: &str = "x-spokebank-server-stamp";
pub const EXPECT_INSTANCE: &str = "x-spokebank-expect-instance";
pub const EXPECT_VERSION: &str = "x-spokebank-expect-version";
pub const LOAD: &str = "x-spokebank-server-load";
pub const NOT_RUN: &str = "x-spokebank-not-run";
pub const INSTANCE_ID: &str = "x-spokebank-instance-id";
pub const MODEL: &str = "x-spokebank-model";
pub const TOKENS: &str = "x-spokebank-token-counts";
pub const URGENCY: &str = "x-spokebank-request-urgency";
pub const WEIGHT_VERSIONS: &str = "x-spokebank-weight-versions";
pub const PROGRAM: &str = "x-spokebank-program-id";
pub const SESSION: &str = "x-spokebank-session-id";
pub const FINISH: &str = "x-spokebank-finish-ms";
pub const BUDGET: &str = "x-spokebank-token-budget";
pub const PREVIOUS: &str = "x-spokebank-previous-turn";

pub const CONFIG_PATH: &str = "/config";
pub const RETIRE_PATH: &str = "/retire/";
pub const READINESS_PATH: &str = "/readiness";
pub const INSTANCES_PATH: &str = "/instances";
pub const REPORT_PATH: &str = "/report";
