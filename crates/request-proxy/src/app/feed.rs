//! Updates from the agent beside, and regular housekeeping.
use super::locked;
use crate::prelude::*;
use node_runtime::settings::AGENT_PORT;

/// Follows the feed of the agent beside and applies it.
pub fn follow_agent(app: &Arc<App>) {
    let (tx, mut rx) = mpsc::channel(256);
    let settings = app.settings.now();
    let follow = FollowSettings {
        name: settings.node_name.clone(),
        seeds: Seeds::Fixed("127.0.0.1".into()),
        feed_port: settings.internal_ports.0 + AGENT_PORT,
        zone: settings.zone.clone(),
        topics: Topics::All,
        // The agent is on this machine: its end ends the connection.
        silence: Duration::from_secs(3600),
        connect: Duration::from_millis(400),
        repeat: Duration::from_secs(3600),
    };
    tokio::spawn(follow_cells(follow, tx, app.trial.reports()));
    let app = app.clone();
    tokio::spawn(async move {
        let mut view = FeedView::default();
        while let Some(n) = rx.recv().await {
            let FeedUpdate::Items(items) = n else { continue };
            for item in items {
                if view.take(&item) {
                    app.apply_update(&item);
                }
            }
            if view.current && view.config.is_some() && app.live().is_some() {
                app.live_on(LifeEvent::Current);
            }
        }
    });
}

/// Housekeeping: leases at the stores, notes, old connections and index entries.
pub fn sweep_regularly(app: &Arc<App>) {
    let bank = app.bank.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            bank.renew_leases();
        }
    });
    let app = app.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(5)).await;
            app.tell_notes();
            let now = app.now();
            locked(&app.sched).index.sweep(now);
            app.pool.sweep(Instant::now());
        }
    });
}

impl App {
    /// Takes one item of the feed into what requests are served by.
    pub fn apply_update(&self, item: &FeedItem) {
        match item {
            FeedItem::Config { version, body, .. } => match check_config(body) {
                Ok(cfg) => {
                    let live = Live {
                        version: *version,
                        routes: RouteTable::new(&cfg),
                        services: cfg
                            .services
                            .iter()
                            .map(|s| (s.name.clone(), s.clone()))
                            .collect(),
                        header_bytes: cfg.limits.header_bytes,
                        body_bytes: cfg.limits.body_bytes,
                        header_time: cfg.limits.header_time,
                        idle_time: cfg.limits.idle_time,
                    };
                    info!("configuration {} in force", version);
                    *locked(&self.live) = Some(Arc::new(live));
                }
                // The cells checked it with the same code.
                Err(f) => warn!("configuration {} can't be read: {} faults", version, f.len()),
            },
            FeedItem::Stores(set) => self.bank.learn(set.clone()),
            FeedItem::Zone(t) => {
                let mut sched = locked(&self.sched);
                sched.learn(t);
                drop(sched);
                self.pump();
            }
            FeedItem::ZoneChange(change) => {
                locked(&self.sched).learn_change(change);
                self.pump();
            }
            FeedItem::Trial { trial, .. } => self.learn_trial(trial),
            FeedItem::ConfigPatch { .. }
            | FeedItem::Cells { .. }
            | FeedItem::Current
            | FeedItem::Heartbeat => {}
        }
    }
}
