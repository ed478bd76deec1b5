//! The one module every file of this package imports.
pub use crate::disk::{
    load_snapshot, load_snapshot_on, load_value, load_value_on, save_snapshot, save_snapshot_on,
    DiskFile, DiskOps, RealDisk, SegmentLog,
};
pub use crate::error::{NodeError, NodeResult};
pub use crate::links::{decode, encode, tune_stream, Caller, LinkError, LinkResult};
pub use crate::settings::{
    Bounds, CloudSettings, DispatcherSettings, LimitSettings, ListenSettings, NodeSettings,
    SharedSettings, Tolerated,
};
pub use crate::util::{fnv64, rank_by_rendezvous, rendezvous_score, Backoff};
pub use bytes::{Bytes, BytesMut};
pub use futures_util::stream::FuturesUnordered;
pub use futures_util::{SinkExt, StreamExt};
pub use serde::{Deserialize, Serialize};
pub use snafu::{ResultExt, Snafu};
pub use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
pub use std::net::{IpAddr, SocketAddr};
pub use std::path::{Path, PathBuf};
pub use std::sync::{Arc, Mutex};
pub use std::time::{Duration, Instant};
pub use tokio::net::{TcpListener, TcpStream};
pub use tokio::sync::{mpsc, oneshot, watch};
