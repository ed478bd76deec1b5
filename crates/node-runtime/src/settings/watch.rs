//! The one task that owns the settings file of a running process, and the handle through which all
//! others read what is in force.
use super::reload::{FileText, Reading, Reloader};
use super::FieldChange;
use crate::prelude::*;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The settings in force. Invariant: each value was checked whole before it was published.
#[derive(Debug, Clone)]
pub struct SharedSettings {
    current: watch::Receiver<Arc<NodeSettings>>,
}

impl SharedSettings {
    /// The settings in force now. Whoever needs several fields that belong together asks once.
    pub fn now(&self) -> Arc<NodeSettings> {
        self.current.borrow().clone()
    }

    /// Waits until other settings have been published than those this handle saw last; for ever where
    /// no file is watched.
    pub async fn changed(&mut self) {
        if self.current.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Settings that no file stands behind: they never change.
impl From<NodeSettings> for SharedSettings {
    fn from(settings: NodeSettings) -> Self {
        SharedSettings { current: watch::channel(Arc::new(settings)).1 }
    }
}

impl From<&Arc<NodeSettings>> for SharedSettings {
    fn from(settings: &Arc<NodeSettings>) -> Self {
        SharedSettings { current: watch::channel(settings.clone()).1 }
    }
}

impl From<&SharedSettings> for SharedSettings {
    fn from(settings: &SharedSettings) -> Self {
        settings.clone()
    }
}

/// How often the file is looked at without a signal.
const POLL: Duration = Duration::from_millis(1500);
/// A change is judged when two looks this far apart have found the same content.
const SETTLE: Duration = Duration::from_millis(60);

/// Reads the file and watches it from then on. SIGHUP is handled before the file is read, so that a
/// signal during a slow start doesn't end the process.
pub fn watch_settings(file: &str) -> NodeResult<SharedSettings> {
    let hangup = signal(SignalKind::hangup())
        .map_err(|e| NodeError::Io { what: "SIGHUP".into(), source: e })?;
    let text = read_file(file).map_err(|reason| NodeError::BadSettings {
        file: file.into(),
        field: "(file)".into(),
        reason,
    })?;
    let reloader = Reloader::new(file, &text)?;
    let (out, current) = watch::channel(Arc::new(reloader.settings().clone()));
    tokio::spawn(own_file(file.to_string(), reloader, hangup, out));
    Ok(SharedSettings { current })
}

fn read_file(file: &str) -> FileText {
    std::fs::read_to_string(file).map_err(|e| e.to_string())
}

async fn own_file(
    file: String,
    mut reloader: Reloader,
    mut hangup: Signal,
    out: watch::Sender<Arc<NodeSettings>>,
) {
    let mut asked = false;
    let mut pause = POLL;
    loop {
        tokio::select! {
            got = hangup.recv() => asked |= got.is_some(),
            _ = tokio::time::sleep(pause) => {}
        }
        pause = POLL;
        let reading = reloader.look(read_file(&file), asked);
        if matches!(reading, Reading::Unsettled) {
            pause = SETTLE;
            continue;
        }
        asked = false;
        act_on(&file, reading, &out);
    }
}

fn act_on(file: &str, reading: Reading, out: &watch::Sender<Arc<NodeSettings>>) {
    match reading {
        Reading::Same | Reading::Unsettled => {}
        Reading::Refused(e) => tell_refused(file, &e),
        Reading::Taken { settings, taken, waiting } => {
            tell_fields(file, "settings field taken", &taken);
            tell_waiting(file, &waiting);
            if !taken.is_empty() {
                out.send_replace(Arc::from(settings));
            }
        }
    }
}

fn tell_refused(file: &str, e: &NodeError) {
    let (field, reason) = match e {
        NodeError::BadSettings { field, reason, .. } => (field.clone(), reason.clone()),
        other => ("(file)".into(), other.to_string()),
    };
    spdlog::error!("settings refused, the old ones stay in force", kv: {
        file = file, field = field.as_str(), reason = reason.as_str()
    });
}

fn tell_fields(file: &str, what: &str, changes: &[FieldChange]) {
    for c in changes {
        spdlog::info!("{}", what, kv: {
            file = file, field = c.field, old = c.old.as_str(), new = c.new.as_str()
        });
    }
}

fn tell_waiting(file: &str, changes: &[FieldChange]) {
    for c in changes {
        spdlog::warn!("settings field needs a restart", kv: {
            file = file, field = c.field, old = c.old.as_str(), new = c.new.as_str()
        });
    }
}
