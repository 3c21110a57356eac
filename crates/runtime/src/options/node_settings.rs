//! The settings of one process: addresses, zone, seeds, data folder and sizes.

use std::net::SocketAddr;
use std::path::PathBuf;

use caperworks::identifiers::Zone;

use crate::options::fault::{exit_with_faults, OptionsFault};
use crate::options::flags::NodeFlags;
use crate::options::reader::OptionsReader;
use crate::options::tuning::TuningOptions;

/// The settings of one process, checked.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The address for our own processes.
    pub control: SocketAddr,
    /// The address at which others reach the control address.
    pub advertise: SocketAddr,
    /// The address for HTTP.
    pub serving: SocketAddr,
    /// The zone that the machine is in.
    pub zone: Zone,
    /// The control addresses of controllers to start from.
    pub seeds: Vec<SocketAddr>,
    /// The data folder, for processes that store state.
    pub data: PathBuf,
    /// The size of a slot, in MiB.
    pub slot_megabytes: u64,
    /// The size of the log, in MiB.
    pub log_megabytes: u64,
    /// Requests per second that a proxy is intended to serve.
    pub capacity: u32,
    /// The control address of a proxy's agent.
    pub agent: Option<SocketAddr>,
    /// Settings that have defaults, and may be tuned.
    pub tuning: TuningOptions,
}

impl NodeSettings {
    /// Combines the file and the flags; a flag takes precedence over the file. `required_fields` names
    /// the fields that this program requires. All faults are returned at once.
    pub fn read(flags: &NodeFlags, required_fields: &[&str]) -> Result<Self, Vec<OptionsFault>> {
        let mut reader = OptionsReader::open(flags.file.as_deref(), required_fields)
            .map_err(|fault| vec![fault])?;
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        let control = reader.address("control", flags.control.as_deref());
        let serving = reader.address("serving", flags.serving.as_deref());
        let agent = reader.address("agent", None);
        let advertise = reader.address("advertise", flags.advertise.as_deref());
        let zone = reader.zone(flags.zone.as_deref());
        let seeds = reader.seeds(&flags.seeds);
        let data = reader.data(flags.data.as_ref());
        let slot_megabytes = reader.number("slot_mb", 16, 1024);
        let log_megabytes = reader.number("log_mb", 8, 1024);
        let capacity = reader.number("capacity", 100, 1_000_000) as u32;
        let tuning = reader.tuning();
        reader.finish()?;
        Ok(Self {
            control: control.unwrap_or(placeholder),
            advertise: advertise.or(control).unwrap_or(placeholder),
            serving: serving.unwrap_or(placeholder),
            zone: Zone::new(zone),
            seeds,
            data,
            slot_megabytes,
            log_megabytes,
            capacity: flags.capacity.unwrap_or(capacity),
            agent,
            tuning,
        })
    }

    /// Like [`read`](Self::read); prints the faults and exits the process if there are any.
    pub fn read_or_exit(flags: &NodeFlags, required_fields: &[&str]) -> Self {
        Self::read(flags, required_fields).unwrap_or_else(|faults| exit_with_faults(&faults))
    }
}
