//! The one module that each file of this crate, and each program, imports.

pub use std::cmp::Reverse;
pub use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
pub use std::fmt;
pub use std::net::{IpAddr, Ipv4Addr, SocketAddr};
pub use std::sync::atomic::{AtomicU64, Ordering};
pub use std::sync::Arc;
pub use std::time::Duration;

pub use minicbor::{Decode, Encode};
pub use slab::Slab;

pub use crate::answer_timer::*;
pub use crate::catch_up::*;
pub use crate::configuration::*;
pub use crate::consensus::messages::*;
pub use crate::consensus::proposer::*;
pub use crate::consensus::voter::*;
pub use crate::directory_answers::*;
pub use crate::disk_frame::*;
pub use crate::dispatch::*;
pub use crate::envelope_clock::*;
pub use crate::facts::*;
pub use crate::feed::*;
pub use crate::home_bounds::*;
pub use crate::identifiers::*;
pub use crate::instances::*;
pub use crate::island::*;
pub use crate::leadership::*;
pub use crate::leases::*;
pub use crate::link::*;
pub use crate::link_figures::*;
pub use crate::map_items::*;
pub use crate::map_weighing::*;
pub use crate::members::*;
pub use crate::messages::*;
pub use crate::old_disk_format::*;
pub use crate::ownership::*;
pub use crate::placement::*;
pub use crate::policy::*;
pub use crate::question_pace::*;
pub use crate::reduced_map::*;
pub use crate::replicated_map::*;
pub use crate::slots::*;
pub use crate::version_history::*;
