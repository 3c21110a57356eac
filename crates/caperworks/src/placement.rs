//! Placement: which proxy sites each group of clients uses, by proposals and rejections.
//!
//! After "Lecture 7: Global Load Balancing" (18.996, 2002), sections 7.4.2 to 7.4.6. The submodules are:
//!
//! - `groups`, `demand` and `distance`: the client groups, their requests, and their distance to sites;
//! - `capacity`: the load that each site can carry;
//! - `hosts`: routes that are placed as one;
//! - `problem`: the problem instance that is derived from these;
//! - `preference_list`, `proposals` and `overflow`: the algorithm;
//! - `mapping`: the result, and whether it is worth a write;
//! - `solver`: when a new result is computed.
//!
//! The result is deterministic: equal inputs give equal mappings on every node.

mod capacity;
mod demand;
mod distance;
mod groups;
mod hosts;
mod mapping;
mod overflow;
mod preference_list;
mod problem;
mod proposals;
mod solver;

pub use self::capacity::Site;
pub use self::groups::{group_of, ClientGroup, UNSEEN_GROUP};
pub use self::mapping::is_worth_writing;
pub use self::overflow::OVERFLOW_PERCENT;
pub use self::preference_list::{rank_sites, LIST_LENGTH, STABILITY_BONUS_MICROS};
pub use self::problem::ProblemView;
pub use self::proposals::{solve, GroupAssignment, Solution, EPSILON};
pub use self::solver::{Solver, SOLVE_PERIOD};
