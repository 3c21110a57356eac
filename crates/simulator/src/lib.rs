//! The seeded simulator: runs the daemons' state machines as a whole fleet in memory and in virtual
//! time, while observers outside the fleet check its invariants.

pub mod actors;
pub mod connections;
pub mod day;
pub mod disks;
pub mod limited_link;
pub mod network;
pub mod observers;
pub mod world;
