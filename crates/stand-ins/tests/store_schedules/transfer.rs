//! Exchanges between stores (`turn-store`, `actor/copying.rs`): a store asks all that have not transferred
//! yet side by side, each again until it has; a newer set begins anew, and once it is caught up it stops.
use crate::prelude::*;
use turn_store::actor::TransferBounds;

/// What a page, or the turns that it names, take at the most.
const PAGE: Duration = ms(150);

/// One store asks another for all that it holds.
pub struct Exchange {
    store: usize,
    /// Of the asking store: exchanges of earlier ones are void.
    round: u64,
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
        lacking: Vec<MissingTurn>,
        span: Option<VersionSpan>,
    },
    /// It is over.
    Ends,
    /// It has failed, and begins again.
    Fails,
}

impl World {
    fn transfer_bounds(&self) -> TransferBounds {
        TransferBounds::from_catch_up(self.losses.catch_up)
    }

    /// A newer set: all are asked anew, at once.
    pub fn asks_anew(&mut self, store: usize) {
        self.stores[store].fruitless = 0;
        self.next_round(store, Duration::ZERO);
    }

    fn next_round(&mut self, store: usize, wait: Duration) {
        let s = &mut self.stores[store];
        s.round += 1;
        let round = s.round;
        self.clock.after(wait, Event::RoundBegins { store, round });
    }

    pub fn round_begins(&mut self, store: usize, round: u64) {
        let s = &mut self.stores[store];
        if s.round != round || !s.answers() {
            return;
        }
        let missing = s.history().missing();
        let version = s.history().set.version;
        s.exchanges = missing.len();
        for e in missing {
            self.asks(Exchange { store, round, version, from: e.id, step: Step::Asks });
        }
    }

    fn asks(&mut self, exchange: Exchange) {
        let wait = match self.reaches(exchange.store, exchange.from) {
            true => self.delay(ms(1), ms(20)),
            false => self.transfer_bounds().call,
        };
        self.clock.after(wait, Event::Exchange(Box::new(exchange)));
    }

    fn reaches(&self, store: usize, id: u64) -> bool {
        let other = self.machine_of(id).is_some_and(|i| self.stores[i].answers());
        other && self.stores[store].answers()
    }

    pub fn exchanges(&mut self, exchange: Exchange) {
        let Exchange { store, round, version, from, step } = exchange;
        if self.stores[store].round != round {
            return;
        }
        let next = match step {
            _ if !self.reaches(store, from) => Step::Fails,
            Step::Asks => self.asked(store, version, from),
            Step::Merges(page) => self.merged(store, page),
            Step::Fetches { lacking, span } => match self.fetched(store, from, lacking) {
                Some(()) => self.transferred(store, version, from, span),
                None => Step::Fails,
            },
            Step::Fails => {
                return self.asks(Exchange { store, round, version, from, step: Step::Asks });
            }
            Step::Ends => Step::Ends,
        };
        let wait = match next {
            Step::Ends => return self.exchange_ends(store),
            Step::Fails => self.transfer_bounds().pause,
            _ => self.delay(ms(1), PAGE),
        };
        let exchange = Exchange { store, round, version, from, step: next };
        self.clock.after(wait, Event::Exchange(Box::new(exchange)));
    }

    fn asked(&mut self, store: usize, version: u64, from: u64) -> Step {
        let me = self.stores[store].id;
        match self.call(from, StoreCall::Sync(SyncCall { version, me, after: None })) {
            Some(StoreReply::Sync(page)) => Step::Merges(page),
            Some(StoreReply::Stale(set)) => {
                self.learns(store, &set);
                Step::Ends
            }
            _ => Step::Fails,
        }
    }

    fn merged(&mut self, store: usize, page: SyncReply) -> Step {
        let rows = page.rows;
        let lacking = self.commits(store, |owner, now, records| {
            let merge = |row| owner.tables.merge(row, now, records);
            rows.into_iter().flat_map(merge).collect()
        });
        match lacking {
            Some(lacking) => Step::Fetches { lacking, span: page.caught_up },
            None => Step::Ends,
        }
    }

    fn fetched(&mut self, store: usize, from: u64, lacking: Vec<MissingTurn>) -> Option<()> {
        let ids = lacking.iter().map(|turn| turn.id.clone()).collect();
        let Some(StoreReply::Turns(turns)) = self.call(from, StoreCall::Fetch { ids }) else {
            return None;
        };
        self.commits(store, |owner, now, records| {
            for MissingTurn { program, id } in lacking {
                let Some(turn) = turns.iter().find(|t| t.id == id).cloned() else { continue };
                owner.tables.record(LogRecord::turn_of(program, turn), now, records);
            }
        })
    }

    fn transferred(
        &mut self,
        store: usize,
        version: u64,
        from: u64,
        span: Option<VersionSpan>,
    ) -> Step {
        let completed = self.on_disk(store, |owner, _| owner.transferred(version, from, span));
        if completed == Some(true) {
            self.reports(store);
        }
        Step::Ends
    }

    /// Once all have ended, and too little is proved, there is another round.
    fn exchange_ends(&mut self, store: usize) {
        let bounds = self.transfer_bounds();
        let s = &mut self.stores[store];
        s.exchanges = s.exchanges.saturating_sub(1);
        if s.history().missing().is_empty() {
            s.round += 1;
        } else if s.exchanges == 0 {
            let wait = (bounds.pause * 2u32.pow(s.fruitless)).min(bounds.longest_pause);
            s.fruitless = (s.fruitless + 1).min(10);
            self.next_round(store, wait);
        }
    }
}
