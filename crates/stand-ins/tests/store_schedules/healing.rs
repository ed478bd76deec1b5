//! The end of a schedule: no more troubles come, and all must be as before within bounded time.
use crate::opening::{Ask, Opened, OPEN};
use crate::prelude::*;
use crate::world::PROGRAMS;

/// How long an absence that was drawn may last yet.
const RETURN_WITHIN: Duration = Duration::from_secs(40);
/// The leader has taken all steps by then: each planned one may take some looks and transfers.
const QUIET_WITHIN: Duration = Duration::from_secs(90);
const STEP: Duration = ms(100);

impl World {
    /// All return by themselves; once the last loss is over opens are answered at once, and after a while
    /// there is nothing left to do, and nothing is missing.
    pub fn heals(&mut self) {
        let end = self.clock.now + RETURN_WITHIN;
        while !self.losses.is_calm(self.clock.now) {
            assert!(self.clock.now < end, "somebody doesn't return\n{}", self.trace());
            let next = self.losses.next_end(self.clock.now);
            self.run_until(next.unwrap_or(self.clock.now + STEP));
        }
        self.traffic = false;
        self.answers_all();
        self.becomes_quiet();
        self.check_all_turns();
    }

    /// A machine counts as lost no longer. With none left, opens are answered at once.
    pub fn loss_over(&mut self) {
        self.check_margin();
        if self.losses.is_calm(self.clock.now) {
            let (program, until) = (self.any(PROGRAMS as usize) as u64, self.clock.now + OPEN);
            self.must_answer(program, until);
        }
    }

    pub fn must_answer(&mut self, program: u64, until: Time) {
        if !self.losses.is_calm(self.clock.now) {
            return;
        }
        if let Err(f) = self.opened(program, None) {
            let late = self.clock.now >= until;
            assert!(!late, "p{program} isn't answered: {f:?}\n{}", self.trace());
            self.clock.after(STEP, Event::MustAnswer { program, until });
        }
    }

    /// Every program is answered within the time that an open has.
    fn answers_all(&mut self) {
        let end = self.clock.now + OPEN;
        for program in 0..PROGRAMS {
            loop {
                match self.opened(program, None) {
                    Ok(_) => break,
                    Err(f) => {
                        let late = self.clock.now >= end;
                        assert!(!late, "p{program} isn't answered: {f:?}\n{}", self.trace());
                        self.run_for(STEP);
                    }
                }
            }
        }
    }

    fn opened(
        &mut self,
        program: u64,
        previous: Option<crate::opening::Turn>,
    ) -> Result<Opened, OpenFault> {
        let (req, proxy) = (self.request(), self.any(self.proxies.len()));
        let (began, abandoned) = (self.clock.now, true);
        let ask = Ask { proxy, program, req, previous, began, abandoned };
        let due: u32 = self.ledger[program as usize].values().sum();
        let (spent, chain) = self.open(&ask)?;
        self.check_opened(&ask, due, spent, &chain);
        self.ledger[program as usize].insert(req, 10);
        Ok((spent, chain))
    }

    /// The leader takes all steps that are due.
    fn becomes_quiet(&mut self) {
        let end = self.clock.now + QUIET_WITHIN;
        let mut since = (self.clock.now, self.set.version);
        loop {
            self.run_for(STEP);
            let now = self.clock.now;
            if self.set.version != since.1 || !self.is_settled() {
                since = (now, self.set.version);
            }
            if now - since.0 > 2 * self.losses.catch_up {
                return;
            }
            assert!(now < end, "not quiet\n{}", self.trace());
        }
    }

    /// Every placed store is there and caught up, and no retirement is left.
    fn is_settled(&self) -> bool {
        let placed = self.set.placement().map_or(&[][..], |p| &p.stores);
        let ok = |id: u64| self.machine_of(id).is_some_and(|i| self.stores[i].is_caught_up());
        let running = self.set.retirements.values().any(|r| *r == Retirement::Running);
        !running && placed.iter().all(|p| ok(p.id))
    }

    /// Every turn is found, and from another program as well; no reservation is missed.
    fn check_all_turns(&mut self) {
        for turn in self.turns.clone() {
            for program in [turn.program, (turn.program + 1) % PROGRAMS] {
                let got = self.opened(program, Some(turn.clone()));
                assert!(got.is_ok(), "{turn:?} from p{program}: {got:?}\n{}", self.trace());
            }
        }
    }
}
