//! The owner of the agent's view.
use crate::prelude::*;

/// A proxy asks to be fed: the answer is its items and the number of the feed.
pub type Opened = oneshot::Sender<(mpsc::Receiver<Vec<Numbered>>, u64)>;

/// Lives of the proxy whose last report is kept.
const MOST_REPORTS: usize = 4;

/// Invariants: numbers grow by one an item; a proxy that doesn't keep up is let go and begins anew;
/// `reports` are of the trial that runs, the newest of each life, oldest life first.
pub struct FeedOwner {
    /// The newest of everything that the cells told.
    pub view: FeedView,
    /// The number of the newest item.
    pub no: u64,
    /// The proxies that are fed: one, and for a moment the one before it.
    pub proxies: Vec<mpsc::Sender<Vec<Numbered>>>,
    /// What the proxies of this machine have counted.
    pub reports: Vec<NodeReport>,
    outgoing: watch::Sender<Option<Vec<NodeReport>>>,
}

impl FeedOwner {
    /// `outgoing` is what the cell is sent.
    pub fn new(outgoing: watch::Sender<Option<Vec<NodeReport>>>) -> Self {
        FeedOwner {
            view: FeedView::default(),
            no: 0,
            proxies: Vec::new(),
            reports: Vec::new(),
            outgoing,
        }
    }

    /// A proxy's report. Nothing is told while no trial runs.
    pub fn count(&mut self, r: NodeReport) {
        match self.reports.iter_mut().find(|o| o.incarnation == r.incarnation) {
            Some(o) if r.seq > o.seq || r.key != o.key => *o = r,
            Some(_) => return,
            None => self.reports.push(r),
        }
        if self.reports.len() > MOST_REPORTS {
            self.reports.remove(0);
        }
        self.publish_reports();
    }

    fn publish_reports(&mut self) {
        let running =
            self.view.trial.as_ref().filter(|t| t.record.is_running()).map(|t| t.record.key());
        self.reports.retain(|r| Some(r.key) == running);
        let reports = (!self.reports.is_empty()).then(|| self.reports.clone());
        self.outgoing.send_if_modified(|sent| {
            let other = *sent != reports;
            *sent = reports;
            other
        });
    }

    /// Takes what the cells told and feeds the proxies with what is new of it.
    pub fn take(&mut self, items: Vec<FeedItem>) {
        for item in items {
            if !self.view.take(&item) {
                continue;
            }
            if matches!(item, FeedItem::Trial { .. }) {
                self.publish_reports();
            }
            self.no += 1;
            let n = Numbered { no: self.no, item };
            self.proxies.retain(|p| p.try_send(vec![n.clone()]).is_ok());
        }
    }

    /// Feeds one more proxy, from a snapshot on.
    pub fn open(&mut self) -> mpsc::Receiver<Vec<Numbered>> {
        let (tx, rx) = mpsc::channel(256);
        let mut items = self.view.snapshot();
        if self.view.current {
            items.push(FeedItem::Current);
        }
        let no = self.no;
        let _ = tx.try_send(items.into_iter().map(|item| Numbered { no, item }).collect());
        self.proxies.push(tx);
        rx
    }
}

const LOOK: Duration = Duration::from_millis(50);

/// Keeps the view until `leaving` says so and the proxies that were fed by then have gone. A proxy that
/// starts meanwhile is fed too, but doesn't hold the agent: it goes on with the agent's successor.
pub async fn run_owner(
    mut k: FeedOwner,
    mut updates: mpsc::Receiver<FeedUpdate>,
    mut opens: mpsc::Receiver<Opened>,
    mut reports: mpsc::Receiver<NodeReport>,
    mut leaving: watch::Receiver<bool>,
) {
    let mut stays_for = Vec::new();
    let mut left = false;
    loop {
        if !left && *leaving.borrow() {
            left = true;
            stays_for = k.proxies.iter().map(mpsc::Sender::downgrade).collect();
        }
        if left {
            stays_for.retain(|p| p.upgrade().is_some_and(|p| !p.is_closed()));
            if stays_for.is_empty() {
                return;
            }
        }
        tokio::select! {
            _ = tokio::time::sleep(LOOK), if left => {}
            r = leaving.changed(), if !left => {
                if r.is_err() {
                    return;
                }
            }
            update = updates.recv() => match update {
                Some(FeedUpdate::Items(items)) => k.take(items),
                Some(FeedUpdate::Down) => {}
                None => return,
            },
            r = reports.recv() => match r {
                Some(r) => k.count(r),
                None => return,
            },
            o = opens.recv() => match o {
                Some(reply) => {
                    let rx = k.open();
                    let _ = reply.send((rx, 1));
                }
                None => return,
            },
        }
    }
}
