//! Exchanges between stores (`turn-store`, `actor/copying.rs`): a store asks all that have not transferred
//! yet side by side; once each has or has failed, it pauses and asks the rest again.
use crate::prelude::*;

/// How long one that says nothing is waited for.
const GIVEN_UP: Duration = ms(1000);
const AGAIN: Duration = ms(120);
/// What a page, or the turns that it names, take at the most.
const PAGE: Duration = ms(150);

/// One store asks another for all that it holds.
pub struct Exchange {
    store: usize,
    /// Of the asking process.
    life: u64,
    /// The version of the set that it is made under.
    version: u64,
    /// The disk that is asked.
    from: u64,
    step: Step,
}

enum Step {
    Asks,
    /// The page is here.
    Merges(SyncReply),
    /// The turns that were lacking are asked for.
    Fetches {
        lacking: Vec<(String, String)>,
        span: Option<VersionSpan>,
    },
    /// It is over, or has failed.
    Ends,
}

impl World {
    /// A newer set: whatever pauses asks at once.
    pub fn asks_anew(&mut self, store: usize) {
        let s = &mut self.stores[store];
        s.asks_at_once = s.exchanges > 0;
        if s.exchanges == 0 {
            self.next_round(store, Duration::ZERO);
        }
    }

    fn next_round(&mut self, store: usize, wait: Duration) {
        let s = &mut self.stores[store];
        s.round += 1;
        let round = s.round;
        self.clock.after(wait, Event::RoundBegins { store, round });
    }

    pub fn round_begins(&mut self, store: usize, round: u64) {
        let s = &mut self.stores[store];
        if s.round != round || s.exchanges > 0 || !s.answers() {
            return;
        }
        let missing = s.tables.history.missing();
        let (life, version) = (s.life, s.tables.history.set.version);
        s.exchanges = missing.len();
        for e in missing {
            let wait = match self.reaches(store, e.id) {
                true => self.delay(ms(1), ms(20)),
                false => GIVEN_UP,
            };
            let exchange = Exchange { store, life, version, from: e.id, step: Step::Asks };
            self.clock.after(wait, Event::Exchange(Box::new(exchange)));
        }
    }

    fn reaches(&self, store: usize, id: u64) -> bool {
        let other = self.machine_of(id).is_some_and(|i| self.stores[i].answers());
        other && self.stores[store].answers()
    }

    pub fn exchanges(&mut self, exchange: Exchange) {
        let Exchange { store, life, version, from, step } = exchange;
        if self.stores[store].life != life {
            return;
        }
        if !self.reaches(store, from) {
            return self.exchange_ends(store);
        }
        let next = match step {
            Step::Asks => self.asked(store, version, from),
            Step::Merges(page) => self.merged(store, page),
            Step::Fetches { lacking, span } => {
                if self.fetched(store, from, lacking).is_some() {
                    self.transferred(store, version, from, span);
                }
                Step::Ends
            }
            Step::Ends => Step::Ends,
        };
        match next {
            Step::Ends => self.exchange_ends(store),
            step => {
                let wait = self.delay(ms(1), PAGE);
                let exchange = Exchange { store, life, version, from, step };
                self.clock.after(wait, Event::Exchange(Box::new(exchange)));
            }
        }
    }

    fn asked(&mut self, store: usize, version: u64, from: u64) -> Step {
        let me = self.stores[store].id;
        match self.call(from, StoreCall::Sync(SyncCall { version, me, after: None })) {
            Some(StoreReply::Sync(page)) => Step::Merges(page),
            Some(StoreReply::Stale(set)) => {
                self.learns(store, &set);
                Step::Ends
            }
            _ => Step::Ends,
        }
    }

    fn merged(&mut self, store: usize, page: SyncReply) -> Step {
        let (mut log, mut lacking) = (Vec::new(), Vec::new());
        for row in page.rows {
            lacking.extend(self.stores[store].tables.merge(row, self.clock.now, &mut log));
        }
        self.keeps(store, log);
        Step::Fetches { lacking, span: page.caught_up }
    }

    fn fetched(&mut self, store: usize, from: u64, lacking: Vec<(String, String)>) -> Option<()> {
        let ids = lacking.iter().map(|(_, id)| id.clone()).collect();
        let Some(StoreReply::Turns(turns)) = self.call(from, StoreCall::Fetch { ids }) else {
            return None;
        };
        let mut log = Vec::new();
        for (program, id) in lacking {
            let Some(record) = turns.iter().find(|t| t.id == id).cloned() else { continue };
            log.push(match record.program == program {
                true => Logged::Turn(record),
                false => Logged::Foreign { program, record },
            });
        }
        let (tables, now) = (&mut self.stores[store].tables, self.clock.now);
        log.iter().for_each(|l| tables.take(l.clone(), now));
        self.keeps(store, log);
        Some(())
    }

    fn transferred(&mut self, store: usize, version: u64, from: u64, span: Option<VersionSpan>) {
        let s = &mut self.stores[store];
        s.tables.transferred(version, from, span);
        let caught_up = s.tables.history.caught_up;
        if s.caught_up != caught_up {
            s.caught_up = caught_up;
            self.reports(store);
        }
    }

    fn exchange_ends(&mut self, store: usize) {
        let s = &mut self.stores[store];
        s.exchanges = s.exchanges.saturating_sub(1);
        let wait = if std::mem::take(&mut s.asks_at_once) { Duration::ZERO } else { AGAIN };
        match s.exchanges {
            0 => self.next_round(store, wait),
            _ => self.stores[store].asks_at_once = wait.is_zero(),
        }
    }
}
