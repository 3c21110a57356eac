//! The reduced form of maps and changes, for followers that only read them.
//!
//! Most bytes of the configuration are the operators' own text, the ids of committed changes, and the
//! histories of the operators' versions. Only voters need those: they decide about changes, and return items
//! to operators. A reduced map records that it is reduced, and no voter installs it.

use std::collections::BTreeMap;

use crate::consensus::messages::CommittedChange;
use crate::identifiers::ChangeId;
use crate::replicated_map::{Change, Item, Put, ReplicatedMap, Written};

messages! {
    /// The form of a map or of changes, as a follower wants them.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    enum FeedForm {
        /// With everything that voters need. A node that may become a voter follows in this form.
        #[default]
        0 Complete,
        /// Without the data that only voters need.
        1 Reduced,
    }
}

impl Written {
    /// Returns the version, which still decides which put wins, without the text.
    fn reduced(&self) -> Self {
        Self {
            version: self.version,
            text: String::new(),
        }
    }
}

impl Change {
    /// Returns the change without its id, its guards and the operators' text: what is needed to apply it once
    /// it is committed.
    pub fn reduced(&self) -> Self {
        let put = |put: &Put| Put {
            key: put.key.clone(),
            expected: None,
            value: put.value.clone(),
            written: put.written.as_ref().map(Written::reduced),
        };
        Self {
            id: ChangeId::default(),
            puts: self.puts.iter().map(put).collect(),
            guards: Vec::new(),
        }
    }
}

impl CommittedChange {
    /// Returns the change in this form.
    pub fn with_form(&self, form: FeedForm) -> Self {
        match form {
            FeedForm::Complete => self.clone(),
            FeedForm::Reduced => Self {
                version: self.version,
                change: self.change.reduced(),
            },
        }
    }
}

impl ReplicatedMap {
    /// Returns the map without the data that only voters need.
    pub fn reduced(&self) -> Self {
        let item = |item: &Item| Item {
            version: item.version,
            value: item.value.clone(),
            written: item.written.as_ref().map(Written::reduced),
        };
        let items = self.items.iter();
        Self {
            version: self.version,
            items: items
                .map(|(key, found)| (key.clone(), item(found)))
                .collect(),
            recent_changes: Vec::new(),
            histories: BTreeMap::new(),
            form: FeedForm::Reduced,
        }
    }

    /// Applies a reduced change; the map is a reduced one from then on.
    ///
    /// This gives the same items as the complete form: histories are only used to distinguish requests with
    /// the same operator's version, which voters did before the change was committed. A follower only has to
    /// decide whether a higher version is present, and each item has its own version.
    pub fn apply_reduced(&mut self, change: &Change) {
        self.apply(change);
        self.recent_changes.clear();
        self.histories.clear();
        self.form = FeedForm::Reduced;
    }
}

/// Encodes the form of a map as a flag, which is true for a reduced map: the stored format.
pub(crate) mod form_as_flag {
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    use crate::reduced_map::FeedForm;

    pub(crate) fn encode<Context, Output: Write>(
        form: &FeedForm,
        encoder: &mut Encoder<Output>,
        _context: &mut Context,
    ) -> Result<(), EncodeError<Output::Error>> {
        encoder.bool(*form == FeedForm::Reduced)?.ok()
    }

    pub(crate) fn decode<Context>(
        decoder: &mut Decoder<'_>,
        _context: &mut Context,
    ) -> Result<FeedForm, DecodeError> {
        Ok(match decoder.bool()? {
            true => FeedForm::Reduced,
            false => FeedForm::Complete,
        })
    }
}
