//! The one module that each file of this crate, and each program, imports.

pub use std::cmp::Reverse;
pub use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
pub use std::fmt;
pub use std::net::{IpAddr, Ipv4Addr, SocketAddr};
pub use std::sync::Arc;
pub use std::time::Duration;

pub use minicbor::{Decode, Encode};
pub use slab::Slab;

pub use crate::agreement::*;
pub use crate::books::*;
pub use crate::dispatch::*;
pub use crate::duty::*;
pub use crate::facts::*;
pub use crate::feed::*;
pub use crate::island::*;
pub use crate::link::*;
pub use crate::messages::*;
pub use crate::permits::*;
pub use crate::placement::*;
pub use crate::policy::*;
pub use crate::post::*;
pub use crate::slots::*;
pub use crate::standing::*;
pub use crate::tenure::*;
pub use crate::words::*;
