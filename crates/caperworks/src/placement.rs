//! Placement: which proxy sites each group of clients uses, by proposals and rejections.
//!
//! After "Lecture 7: Global Load Balancing" (18.996, 2002), sections 7.4.2 to 7.4.6. The concerns are:
//!
//! - `groups`, `demand` and `distance`: who the clients are, what they ask for, how far they are;
//! - `capacity`: what each site can carry;
//! - `hosts`: routes that are placed as one;
//! - `problem`: the instance that is made of these;
//! - `preference_list`, `proposals` and `overflow`: the algorithm;
//! - `mapping`: the result, and whether it is worth a write;
//! - `solver`: when all this is done.
//!
//! The result depends on nothing but the inputs: equal inputs give equal mappings on every node.

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
pub use self::preference_list::{ranked, LIST_LENGTH, STABILITY_BONUS};
pub use self::problem::ProblemView;
pub use self::proposals::{solve, Placed, Solution, EPSILON};
pub use self::solver::{Solver, SOLVE_PERIOD};
