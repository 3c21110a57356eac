//! The command line.

use std::path::PathBuf;

use bpaf::{construct, long, OptionParser, Parser};

/// Reads the command line; exits the process with status 2 if it is invalid, and with 0 after printing help.
pub fn read_flags<Flags>(parser: &OptionParser<Flags>) -> Flags {
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(flags) => flags,
        Err(failure) => {
            failure.print_message(100);
            let wrong = matches!(failure, bpaf::ParseFailure::Stderr(_));
            std::process::exit(if wrong { 2 } else { 0 });
        }
    }
}

/// The flags that replace fields of the options file, see [`NodeSettings`](super::NodeSettings).
#[derive(Debug, Clone, Default)]
pub struct NodeFlags {
    /// The options file.
    pub file: Option<PathBuf>,
    /// See the field of the same name of [`NodeSettings`](super::NodeSettings).
    pub control: Option<String>,
    /// See the field of the same name of [`NodeSettings`](super::NodeSettings).
    pub advertise: Option<String>,
    /// See the field of the same name of [`NodeSettings`](super::NodeSettings).
    pub serving: Option<String>,
    /// See the field of the same name of [`NodeSettings`](super::NodeSettings).
    pub zone: Option<String>,
    /// See the field of the same name of [`NodeSettings`](super::NodeSettings).
    pub seeds: Vec<String>,
    /// See the field of the same name of [`NodeSettings`](super::NodeSettings).
    pub data: Option<PathBuf>,
    /// See the field of the same name of [`NodeSettings`](super::NodeSettings).
    pub capacity: Option<u32>,
}

/// Returns the parser of [`NodeFlags`], which all daemons share.
pub fn node_flags() -> impl Parser<NodeFlags> {
    let file = long("options")
        .help("Options file in JSON; flags take precedence over it")
        .argument::<PathBuf>("FILE")
        .optional();
    let control = long("control")
        .help("Address for connections between caperworks processes, IP:PORT")
        .argument::<String>("ADDRESS")
        .optional();
    let advertise = long("advertise")
        .help("Address at which others reach the control address, if it differs")
        .argument::<String>("ADDRESS")
        .optional();
    let serving = long("serving")
        .help("Address for HTTP, IP:PORT")
        .argument::<String>("ADDRESS")
        .optional();
    let zone = long("area")
        .help("The zone that this machine is located in")
        .argument::<String>("NAME")
        .optional();
    let seeds = long("seed")
        .help("Control address of a seed; specify it three times")
        .argument::<String>("ADDRESS")
        .many();
    let data = long("data")
        .help("Data folder, for processes that store state on disk")
        .argument::<PathBuf>("FOLDER")
        .optional();
    let capacity = long("capacity")
        .help("Requests per second that this proxy is intended to serve")
        .argument::<u32>("NUMBER")
        .optional();
    construct!(NodeFlags {
        file,
        control,
        advertise,
        serving,
        zone,
        seeds,
        data,
        capacity
    })
}
