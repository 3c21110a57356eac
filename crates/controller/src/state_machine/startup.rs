//! Startup: builds the controller's state from the contents of its disk.

use std::collections::BTreeSet;

use crate::state::options::ControllerOptions;
use crate::state::{ControllerState, StoredState};
use crate::state_machine::event::Event;
use crate::state_machine::output::ControllerOutput;
use crate::state_machine::storage::Storage;
use caperworks::catch_up::CatchUpReceiver;
use caperworks::consensus::messages::Record;
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{mix, InstanceId, NodeId, RandomSource};
use caperworks::messages::Founding;
use caperworks::replicated_map::ALL_MAPS;
use caperworks::slots::{DiskImage, Recovery, SlotDisk};

/// The state that was recovered from disk.
struct RecoveredState {
    node: NodeId,
    founding: Option<Founding>,
    may_found: bool,
    voter: Voter,
    deregistered: BTreeSet<InstanceId>,
    disk: SlotDisk,
    /// Whether no usable state was found, so that a complete slot must be written first.
    is_fresh: bool,
    /// The parts that could not be read.
    damage: Vec<Event>,
}

impl RecoveredState {
    fn empty(options: &ControllerOptions, random: &mut RandomSource) -> Self {
        Self {
            node: NodeId(random.next_u64() >> 1),
            founding: None,
            may_found: options.core.may_bootstrap,
            voter: Voter::default(),
            deregistered: BTreeSet::new(),
            disk: SlotDisk::new(options.slot_capacity, options.log_capacity),
            is_fresh: true,
            damage: Vec::new(),
        }
    }

    /// Restores the state from a slot and replays the log that follows it.
    fn restore(&mut self, stored: StoredState, log: Vec<Vec<u8>>) {
        self.is_fresh = false;
        self.node = stored.node;
        self.founding = stored.founding;
        self.may_found |= stored.may_found == Some(true);
        self.voter = Voter::restored(stored.replicas);
        self.deregistered
            .extend(stored.deregistered.into_iter().flatten());
        for line in log {
            match minicbor::decode::<Record>(&line) {
                Ok(record) => self.replay(record),
                Err(_) => self.damage.push(Event::DiskDamaged {
                    why: "a log record cannot be decoded".to_string(),
                }),
            }
        }
    }
}

impl RecoveredState {
    fn replay(&mut self, record: Record) {
        match record {
            Record::Deregistered { ids } => self.deregistered.extend(ids),
            Record::DeregistrationsForgotten { ids } => {
                for id in &ids {
                    self.deregistered.remove(id);
                }
            }
            record => self.voter.replay(record),
        }
    }
}

/// Recovers the state from the slots and the log.
///
/// A disk that is damaged anywhere is treated as empty, because a voter that has lost some of its promises
/// could break consensus. With a new ID the node is not a voter, and copies the maps from the others.
fn recover(
    options: &ControllerOptions,
    image: &DiskImage,
    random: &mut RandomSource,
) -> RecoveredState {
    let mut recovered = RecoveredState::empty(options, random);
    match recovered.disk.recover(image) {
        Recovery::Empty => {}
        Recovery::Found { state, lines } => match minicbor::decode::<StoredState>(&state) {
            Ok(stored) if stored.replicas.len() == ALL_MAPS.len() => {
                recovered.restore(stored, lines)
            }
            _ => recovered.damage.push(Event::DiskDamaged {
                why: "the state in the slot cannot be decoded".to_string(),
            }),
        },
        Recovery::Damaged(damage) => recovered.damage.push(Event::DiskDamaged {
            why: damage.to_string(),
        }),
    }
    if recovered.damage.is_empty() {
        return recovered;
    }
    let damage = recovered.damage;
    let mut recovered = RecoveredState {
        damage,
        ..RecoveredState::empty(options, random)
    };
    recovered.disk.skip_generations(image);
    recovered
}

/// Builds the state of a starting controller, and returns it with the outputs of its start.
pub(super) fn start(
    options: ControllerOptions,
    image: &DiskImage,
    seed: u64,
) -> (ControllerState, Vec<ControllerOutput>) {
    let mut random = RandomSource::seeded(seed);
    let recovered = recover(&options, image, &mut random);
    let mut catch_up = CatchUpReceiver::new(mix(seed), options.slot_capacity);
    options.fault_injection.apply_to_catch_up(&mut catch_up);
    let storage = Storage::new(recovered.disk);
    let mut state = ControllerState::new(
        options,
        recovered.node,
        recovered.voter,
        storage,
        catch_up,
        random,
    );
    state.deregistration_storage.recovered = recovered.deregistered.into_iter().collect();
    state.founding.proposed = recovered.founding;
    state.founding.may_found = recovered.may_found;
    for event in recovered.damage {
        state.log_event(event);
    }
    if recovered.is_fresh {
        state.write_slot(Vec::new());
    } else {
        let versions = state.versions();
        state.storage.mark_synced(versions);
    }
    let outputs = std::mem::take(&mut state.outputs);
    (state, outputs)
}
