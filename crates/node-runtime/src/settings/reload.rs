//! What a running process makes of a new reading of its settings file: pure, so that every case can be
//! tested without a file.
use super::fields::given_fields;
use super::{
    compare_settings, parse_settings, take_at_once, FieldChange, TakesEffect, FIELD_RULES,
};
use crate::prelude::*;

/// What came of one look at the file.
#[derive(Debug)]
pub enum Reading {
    /// The file says what it said at the last look that was judged.
    Same,
    /// The file is different from the look before: it may be in the middle of being written, and is
    /// judged once two looks in a row have found the same.
    Unsettled,
    /// Sound. `settings` are to be published; `waiting` fields keep their old values until a restart.
    Taken {
        /// The settings now in force.
        settings: Box<NodeSettings>,
        /// What differs from before and is in force now.
        taken: Vec<FieldChange>,
        /// What differs from what is in force and needs a restart.
        waiting: Vec<FieldChange>,
    },
    /// Not sound: the settings in force stay.
    Refused(NodeError),
}

/// The text of the file, or why it can't be read.
pub type FileText = Result<String, String>;

/// Judges one look at the file after the other. Invariants: `settings` were checked whole; `judged` is
/// the last content that was taken or refused; `good` is the last content that was taken.
pub struct Reloader {
    file: String,
    settings: NodeSettings,
    good: String,
    judged: FileText,
    last: FileText,
}

impl Reloader {
    /// `text` is what the settings at the start were read from.
    pub fn new(file: &str, text: &str) -> NodeResult<Self> {
        Ok(Reloader {
            file: file.into(),
            settings: parse_settings(file, text)?,
            good: text.into(),
            judged: Ok(text.into()),
            last: Ok(text.into()),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Takes what a look at the file found. `asked` judges it even if it was judged before, so that an
    /// operator who asks again is answered again.
    pub fn look(&mut self, found: FileText, asked: bool) -> Reading {
        let settled = found == self.last;
        self.last = found.clone();
        if found == self.judged && !asked {
            return Reading::Same;
        }
        if !settled {
            return Reading::Unsettled;
        }
        self.judged = found.clone();
        match self.check(&found) {
            Ok((text, new)) => self.take(text, new),
            Err(e) => Reading::Refused(e),
        }
    }

    fn check(&self, found: &FileText) -> NodeResult<(String, NodeSettings)> {
        let text = match found {
            Ok(text) => text,
            Err(reason) => return self.refuse("(file)", reason),
        };
        if text.trim().is_empty() {
            return self.refuse("(file)", "is empty");
        }
        let new = parse_settings(&self.file, text)?;
        if let Some(field) = self.vanished(text) {
            return self.refuse(field, "was given before and is missing now: is the file whole?");
        }
        if self.good.ends_with('\n') && !text.ends_with('\n') {
            return self.refuse("(file)", "ends in the middle of a line: is the file whole?");
        }
        Ok((text.clone(), new))
    }

    fn refuse<T>(&self, field: &str, reason: &str) -> NodeResult<T> {
        let (file, field, reason) = (self.file.clone(), field.into(), reason.into());
        Err(NodeError::BadSettings { file, field, reason })
    }

    /// A file cut short between two lines reads well, with defaults for what is lost: a field that was
    /// given and isn't any more is therefore a fault.
    fn vanished(&self, text: &str) -> Option<&'static str> {
        let (before, now) = (given_fields(&self.good), given_fields(text));
        let needed = |name: &&str| {
            let rule = FIELD_RULES.iter().find(|r| r.name == *name);
            rule.is_some_and(|r| r.effect != TakesEffect::FirstStartOnly)
        };
        before.difference(&now).copied().find(needed)
    }

    fn take(&mut self, text: String, new: NodeSettings) -> Reading {
        let changes = compare_settings(&self.settings, &new);
        let of = |effect: TakesEffect| -> Vec<FieldChange> {
            changes.iter().filter(|c| c.effect == effect).cloned().collect()
        };
        self.settings = take_at_once(&self.settings, &new);
        self.good = text;
        Reading::Taken {
            settings: Box::new(self.settings.clone()),
            taken: of(TakesEffect::AtOnce),
            waiting: of(TakesEffect::AfterRestart),
        }
    }
}
