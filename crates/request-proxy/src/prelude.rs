//! The one module every file of this package imports.
pub use crate::app::{App, Live, TrialDesk, TrialPlacement};
pub use crate::door::{
    Head, HeadFault, OwnAnswer, ProxyBody, RequestAccounts, RequestTotals, TrackedRequest,
    UnansweredCause,
};
pub use crate::life::{
    Admission, Cohort, DrainClock, Life, LifeEvent, LifeState, Verdict, Work, WorkHistory,
    WorkSize, WorkStage,
};
pub use crate::relay::{EventFault, EventReader, RelayBody, StreamBreak};
pub use crate::sending::{Lease, Pool, SendOutcome};
pub use crate::turns::{
    ChainCache, Claim, ClaimAsk, OpenAsk, OpenFault, OpenLedger, OpenStep, Opened, TurnBank,
    TurnClose,
};
pub use dispatcher::prelude::{
    Call, CallPoint, ClaimDecision, ClaimTally, Epoch, Evidence, HeldLeases, Limits, NewAttempt,
    Pinned, RecoverDecision, RecoverTally,
};
pub use external_api::prelude::*;
pub use feed_client::prelude::{
    follow_cells, FeedItem, FeedUpdate, FeedView, FollowSettings, Seeds, Topics,
};
pub use http::request::Parts as RequestParts;
pub use http::{HeaderMap, HeaderValue};
pub use internal_protocol::prelude::*;
pub use internal_protocol::stores::*;
pub use operator_config::prelude::{
    check_config, OperatorConfig, Route, RouteKind, RouteTable, Service,
};
pub use routing_trial::prelude::{
    arm_of, bucket_of, read_answered_by, write_answered_by, Arm, Mark, NodeReport, Outcome,
    TrialRecord,
};
pub use session_index::prelude::{
    chain_blocks, Ask, Block, EngineKey, FailureKind, Grant, KeptConnections, NoteKind, Part,
    Placed, Policy, Reason, Scheduler, SchedulerTuning,
};
pub use spdlog::{debug, info, warn};
pub use statig::prelude::{state_machine, InitializedStateMachine, IntoStateMachineExt};
pub use std::future::Future;
pub use std::pin::Pin;
pub use std::sync::atomic::{AtomicU64, Ordering};
pub use std::task::{Context, Poll};
