//! The settings of one process: addresses, zone, seeds, data folder and sizes.

use std::net::SocketAddr;
use std::path::PathBuf;

use caperworks::identifiers::Zone;

use crate::options::fault::{exit_with_faults, OptionsFault};
use crate::options::flags::NodeFlags;
use crate::options::reader::OptionsReader;
use crate::options::terms::TuningOptions;

/// The settings of one process, checked.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The address for our own processes.
    pub control: SocketAddr,
    /// Where others reach the control address.
    pub advertise: SocketAddr,
    /// The address for HTTP.
    pub serving: SocketAddr,
    /// The zone that the machine is in.
    pub zone: Zone,
    /// The control addresses of controllers to start from.
    pub seeds: Vec<SocketAddr>,
    /// The data folder, for processes that store state.
    pub data: PathBuf,
    /// The size of a slot.
    pub slot_megabytes: u64,
    /// The size of the log.
    pub log_megabytes: u64,
    /// Requests a second that a proxy is meant to carry.
    pub capacity: u32,
    /// The control address of a proxy's agent.
    pub agent: Option<SocketAddr>,
    /// How the process works where more than one way is sound.
    pub terms: TuningOptions,
}

impl NodeSettings {
    /// Combines file and flags; a flag wins over the file. `needs` names the fields that this program
    /// cannot do without. All faults are returned at once.
    pub fn read(flags: &NodeFlags, needs: &[&str]) -> Result<Self, Vec<OptionsFault>> {
        let mut reader =
            OptionsReader::open(flags.file.as_deref(), needs).map_err(|fault| vec![fault])?;
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
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
        let terms = reader.terms();
        reader.finish()?;
        Ok(Self {
            control: control.unwrap_or(unset),
            advertise: advertise.or(control).unwrap_or(unset),
            serving: serving.unwrap_or(unset),
            zone: Zone::new(zone),
            seeds,
            data,
            slot_megabytes,
            log_megabytes,
            capacity: flags.capacity.unwrap_or(capacity),
            agent,
            terms,
        })
    }

    /// The same; prints the faults and ends the process when there are any.
    pub fn read_or_exit(flags: &NodeFlags, needs: &[&str]) -> Self {
        Self::read(flags, needs).unwrap_or_else(|faults| exit_with_faults(&faults))
    }
}
