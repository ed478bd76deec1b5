//! The one module every file of this package imports.
pub use crate::arms::{arm_of, bucket_of, read_answered_by, write_answered_by, Arm, Mark, BUCKETS};
pub use crate::outcomes::{
    ArmSums, Bucket, NodeReport, Outcome, OutcomeLedger, RouteCounts, Totals, MOST_ROUTES,
};
pub use crate::record::{TrialRecord, TrialStatus};
pub use crate::spec::{check_spec, BrokenLimit, GuardSpec, PolicySpec, SpecFault, TrialSpec};
pub use crate::verdict::{
    compare_arms, excess_evidence, judge, say, Breach, Estimate, Evidence, Point, Verdict,
};
pub use node_runtime::prelude::*;
