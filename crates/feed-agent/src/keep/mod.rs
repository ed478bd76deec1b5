//! The owner of the agent's view.
use crate::prelude::*;

pub type Opened = oneshot::Sender<(mpsc::Receiver<Vec<Numbered>>, u64)>;

/// Invariants: numbers grow by one an item; a proxy that doesn't keep up is let go and begins anew.
#[derive(Default)]
pub struct Keeper {
    pub view: FeedView,
    pub no: u64,
    pub proxies: Vec<mpsc::Sender<Vec<Numbered>>>,
}

impl Keeper {
    pub fn take(&mut self, items: Vec<FeedItem>) {
        for item in items {
            if !self.view.take(&item) {
                continue;
            }
            self.no += 1;
            let n = Numbered { no: self.no, item };
            self.proxies.retain(|p| p.try_send(vec![n.clone()]).is_ok());
        }
    }

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

/// Keeps the view until `leaving` says so and no proxy is left to feed.
pub async fn keep(
    mut news: mpsc::Receiver<News>,
    mut opens: mpsc::Receiver<Opened>,
    mut leaving: watch::Receiver<bool>,
) {
    let mut k = Keeper::default();
    loop {
        let left = *leaving.borrow();
        if left {
            k.proxies.retain(|p| !p.is_closed());
            if k.proxies.is_empty() {
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
            n = news.recv() => match n {
                Some(News::Items(items)) => k.take(items),
                Some(News::Down) => {}
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_proxy_is_told_current_only_after_a_cell_said_so() {
        let mut k = Keeper::default();
        let mut early = k.open();
        let first = early.try_recv().unwrap();
        assert!(!first.iter().any(|n| n.item == FeedItem::Current));
        let cfg = FeedItem::Config { index: 1, serial: 3, body: ByteBuf::new() };
        k.take(vec![cfg.clone(), FeedItem::Current, cfg.clone()]);
        assert_eq!(early.try_recv().unwrap()[0].item, cfg);
        assert_eq!(early.try_recv().unwrap()[0].item, FeedItem::Current);
        assert!(early.try_recv().is_err(), "nothing is told twice");
        let late = k.open().try_recv().unwrap();
        assert_eq!(late.last().unwrap().item, FeedItem::Current);
        assert!(late.iter().any(|n| n.item == cfg));
    }
}
