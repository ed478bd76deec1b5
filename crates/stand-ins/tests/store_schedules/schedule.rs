//! A generated schedule: troubles and planned steps at any time, as many losses at once as are tolerated,
//! the next one at times at the very moment at which one more may come.
use crate::prelude::*;

/// The longest time away.
const AWAY: u64 = 16_000;
/// From the end of a machine to the start of its successor.
const SUCCESSOR: std::ops::RangeInclusive<u64> = 200..=2000;
/// More machines than the first ones by so many at the most.
const ADDED: usize = 5;

impl World {
    /// Any machine that is there.
    fn drawn_store(&self, u: Luck) -> Drawn<usize> {
        let there: Vec<usize> = (0..self.stores.len()).filter(|i| !self.stores[*i].gone).collect();
        Ok(*u.choose(&there)?)
    }

    pub fn happens_next(&mut self, u: Luck, most: usize) -> Drawn<()> {
        let store = self.drawn_store(u)?;
        match u.int_in_range(0..=23u8)? {
            22..=23 => self.drawn_overlap(u)?,
            0..=3 => drop(self.loses_disk(store)),
            4..=6 => self.drawn_absence(u, store)?,
            7..=8 => self.drawn_end(u, store)?,
            9 => self.rolls(store),
            10..=11 => self.planned(u, store, most)?,
            12 => self.retires(store),
            13 => self.drawn_change(u)?,
            14 if u.ratio(1, 4)? => self.power_loss(),
            14..=15 => self.burst(u, most)?,
            16..=17 => self.retires_beside_a_loss(u, store)?,
            _ => self.many_are_lost(u)?,
        }
        Ok(())
    }

    /// It is gone for good; the leader may change while it is being replaced.
    fn drawn_end(&mut self, u: Luck, store: usize) -> Drawn<()> {
        self.is_gone(store, ms(u.int_in_range(SUCCESSOR)?), u.ratio(1, 4)?);
        if u.ratio(1, 4)? {
            self.run_for(ms(u.int_in_range(1..=2000)?));
            self.drawn_change(u)?;
        }
        Ok(())
    }

    fn drawn_change(&mut self, u: Luck) -> Drawn<()> {
        match u.arbitrary()? {
            true => self.loses_leader(),
            false => self.hands_over(),
        }
        Ok(())
    }

    /// It is down, cut off or frozen for a time; its disk may be lost as well.
    fn drawn_absence(&mut self, u: Luck, store: usize) -> Drawn<()> {
        let reach = *u.choose(&[Reach::Down, Reach::NoCells, Reach::Nobody])?;
        let longest = *u.choose(&[900, 6_000, AWAY])?;
        let wait = ms(u.int_in_range(100..=longest)?);
        let wiped = reach == Reach::Down && u.ratio(1, 3)?;
        self.is_lost(store, reach, wait, wiped);
        Ok(())
    }

    /// A planned step or two, and at any point of them absences that overlap beyond what is tolerated.
    pub fn planned_then_overlap(&mut self, u: Luck, most: usize) -> Drawn<()> {
        for _ in 0..u.int_in_range(0..=2)? {
            let store = self.drawn_store(u)?;
            match u.int_in_range(0..=3u8)? {
                0 => self.retires(store),
                1 => self.rolls(store),
                _ => self.planned(u, store, most)?,
            }
            self.run_for(ms(u.int_in_range(0..=1500)?));
        }
        while !self.losses.is_calm(self.clock.now) {
            let next = self.losses.next_end(self.clock.now);
            self.run_until(next.unwrap_or(self.clock.now + ms(100)));
        }
        self.drawn_overlap(u)?;
        self.pause(u)
    }

    /// Machines are away beyond what is tolerated, some of them for longer than the leader waits, and disks
    /// are lost meanwhile.
    fn drawn_overlap(&mut self, u: Luck) -> Drawn<()> {
        if !self.losses.is_calm(self.clock.now) {
            return Ok(());
        }
        let all_lose_power = u.ratio(1, 3)?;
        let longest = *u.choose(&[1_000, 6_000, AWAY])?;
        let mut away = Vec::new();
        for store in 0..self.stores.len() {
            if all_lose_power || u.ratio(1, 2)? {
                let reach = *u.choose(&[Reach::Down, Reach::NoCells, Reach::Nobody])?;
                let reach = if all_lose_power { Reach::Down } else { reach };
                away.push((store, reach, ms(u.int_in_range(100..=longest)?)));
            }
        }
        self.absences_overlap(&away, all_lose_power || u.arbitrary()?);
        for _ in 0..u.int_in_range(0..=self.losses.tolerated)? {
            self.run_for(ms(u.int_in_range(0..=longest)?));
            let store = self.drawn_store(u)?;
            self.loses_disk_meanwhile(store);
        }
        Ok(())
    }

    /// One is away while another is retired and the rest take over: it may be the one that lacks what only
    /// the retired one has.
    fn retires_beside_a_loss(&mut self, u: Luck, store: usize) -> Drawn<()> {
        let away = self.drawn_store(u)?;
        let reach = *u.choose(&[Reach::Down, Reach::NoCells, Reach::Nobody])?;
        self.is_lost(away, reach, ms(u.int_in_range(1_000..=AWAY)?), false);
        self.run_for(ms(u.int_in_range(1..=1_000)?));
        self.retires(store);
        Ok(())
    }

    fn planned(&mut self, u: Luck, store: usize, most: usize) -> Drawn<()> {
        if self.stores.iter().filter(|s| !s.gone).count() < most + ADDED {
            match u.ratio(1, 3)? {
                true => self.adds(),
                false => self.replaces(store, u.arbitrary()?, ms(u.int_in_range(0..=2000)?)),
            }
        }
        Ok(())
    }

    /// Several changes one right after the other.
    fn burst(&mut self, u: Luck, most: usize) -> Drawn<()> {
        for _ in 0..u.int_in_range(2..=5)? {
            let store = self.drawn_store(u)?;
            match u.int_in_range(0..=5u8)? {
                0..=1 => self.planned(u, store, most)?,
                2 => self.retires(store),
                3 => self.rolls(store),
                _ => drop(self.loses_disk(store)),
            }
            self.run_for(ms(u.int_in_range(1..=300)?));
        }
        Ok(())
    }

    /// As many disks as may be are lost at once.
    pub fn many_are_lost(&mut self, u: Luck) -> Drawn<()> {
        for _ in 0..self.losses.spare(self.clock.now) {
            let store = self.drawn_store(u)?;
            self.loses_disk(store);
        }
        Ok(())
    }

    /// As many disks as may be are lost at the end; all others may lose power just then.
    pub fn closing_fault(&mut self, u: Luck) -> Drawn<()> {
        self.many_are_lost(u)?;
        if u.arbitrary()? {
            self.power_loss();
        }
        Ok(())
    }

    /// From the smallest steps to the longest that matter, and to the moment at which one more machine may
    /// be lost.
    pub fn pause(&mut self, u: Luck) -> Drawn<()> {
        let catch_up = self.losses.catch_up.as_millis() as u64;
        let now = self.clock.now;
        let until = match u.int_in_range(0..=9u8)? {
            0 => now + ms(u.int_in_range(1..=20)?),
            1..=2 => now + ms(u.int_in_range(20..=500)?),
            3..=4 => now + ms(u.int_in_range(500..=catch_up / 2)?),
            5 => now + ms(u.int_in_range(catch_up / 2..=catch_up)?),
            _ => self.losses.next_end(now).unwrap_or(now + ms(u.int_in_range(1..=catch_up)?)),
        };
        self.run_until(until);
        Ok(())
    }
}
