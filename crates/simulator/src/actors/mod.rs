//! The proxies and instances of the simulated fleet: the daemons' state machines with the
//! network between them played by the world.

pub mod instance;
pub mod proxy;
pub mod request;
