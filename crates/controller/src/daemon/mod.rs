//! The controller process: its state machine in an actor, its disk, and its HTTP API.
//!
//! [`host`] carries out the state machine's outputs, [`handle`] passes calls to it, [`http_api`] implements the
//! native API, and [`events`] writes the log.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};

use hyper::body::Incoming;
use hyper::Request;
use thiserror::Error;
use tokio::sync::Notify;

use crate::daemon::host::ControllerHost;
use crate::state::options::ControllerOptions;
use crate::state_machine::input::ControllerInput;
use crate::state_machine::output::ControllerOutput;
use crate::state_machine::ControllerMachine;
use caperworks::identifiers::NodeId;
use caperworks::slots::DiskWrite;
use runtime::actor::{
    follow_settings, random_seed, shut_down_gracefully, shutdown_signal, spawn_actor, Host, Inbox,
    ReloadSettings,
};
use runtime::clock::Clock;
use runtime::connections::{listen, ControlPort};
use runtime::disk::{raise_file_limits, DataFolder};
use runtime::events::{event, STARTED, STOPPED, STOPPING};
use runtime::http::{serve_http, BoxedResponse};
use runtime::options::NodeSettings;

pub mod events;
pub mod handle;
pub mod host;
pub mod http_api;

pub use self::handle::ControllerHandle;

/// Number of bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1024 * 1024;

/// A handler of HTTP calls: the native API, or another one that replaces it.
pub type Interface =
    Arc<dyn Fn(ControllerHandle, Request<Incoming>) -> BoxedResponse + Send + Sync + 'static>;

/// Returns the native API.
pub fn native_interface() -> Interface {
    Arc::new(|handle, request| Box::pin(async move { handle.respond(request).await }))
}

/// The underlying error, whose text describes what went wrong.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// The reason why a controller cannot start. The texts are those of the underlying errors.
#[derive(Debug, Error)]
pub enum StartError {
    /// The signal handler for writes beyond a file size limit cannot be installed.
    #[error(transparent)]
    FileLimits(Cause),
    /// The data directory cannot be opened or read.
    #[error(transparent)]
    DataFolder(Cause),
    /// The port for messages from other nodes cannot be opened.
    #[error(transparent)]
    ControlPort(Cause),
    /// The port for HTTP calls cannot be opened.
    #[error(transparent)]
    ServingPort(Cause),
}

/// Runs a controller until a graceful shutdown is requested and complete.
///
/// An error means that the controller did not start, because a port is in use or the data directory is not
/// usable.
pub async fn run(
    node_settings: NodeSettings,
    reload_settings: ReloadSettings,
    interface: Interface,
) -> Result<(), StartError> {
    let clock = Clock::start();
    let (folder, machine, outputs) = recover(&node_settings)?;
    let (inbox, receiver) = Inbox::open();
    let port = open_control_port(&node_settings, machine.node(), inbox.clone()).await?;
    let disk = start_disk_writer(folder, inbox.clone());
    let handle = ControllerHandle::new(inbox.clone(), clock);
    let stopped = Arc::new(Notify::new());
    log_start(&node_settings, machine.node());
    let mut host = ControllerHost {
        machine,
        port,
        disk,
        tickets: handle.tickets.clone(),
        ready_until: handle.ready_until.clone(),
        stopped: stopped.clone(),
        freeze_guard: handle.freeze_guard.clone(),
    };
    let mut next = VecDeque::new();
    host.act(outputs, &mut next);
    next.into_iter()
        .for_each(|input| host.handle(clock.now(), input));
    spawn_actor(host, clock, receiver, node_settings.tuning.tick);
    let stopping = handle.stopping.clone();
    serve_calls(&node_settings, handle, interface).await?;
    let settings_inbox = inbox.clone();
    follow_settings(reload_settings, move |seeds| {
        settings_inbox.push(ControllerInput::SeedsChanged { seeds });
    });
    shutdown_signal().await;
    event(STOPPING, "");
    stopping.store(true, Ordering::SeqCst);
    shut_down_gracefully(&inbox, ControllerInput::Shutdown, &stopped).await;
    event(STOPPED, "");
    Ok(())
}

/// Starts the state machine from the data directory. The outputs of its start are not carried out yet.
fn recover(
    node_settings: &NodeSettings,
) -> Result<(DataFolder, ControllerMachine, Vec<ControllerOutput>), StartError> {
    let slot_bytes = node_settings.slot_megabytes * MEGABYTE;
    let log_bytes = node_settings.log_megabytes * MEGABYTE;
    raise_file_limits().map_err(|error| StartError::FileLimits(error.into()))?;
    let folder = DataFolder::open(&node_settings.data, slot_bytes, log_bytes)
        .map_err(|error| StartError::DataFolder(error.into()))?;
    let image = folder
        .image()
        .map_err(|error| StartError::DataFolder(error.into()))?;
    let options = ControllerOptions::new(
        node_settings.advertise,
        node_settings.zone.clone(),
        node_settings.seeds.clone(),
    )
    .disk_capacity(slot_bytes, log_bytes)
    .core(node_settings.tuning.core.clone());
    let (machine, outputs) = ControllerMachine::start(options, &image, random_seed());
    Ok((folder, machine, outputs))
}

async fn open_control_port(
    node_settings: &NodeSettings,
    node: NodeId,
    inbox: Inbox<ControllerInput>,
) -> Result<ControlPort, StartError> {
    let handle = move |envelope| {
        inbox.push(ControllerInput::MessageReceived { envelope });
    };
    ControlPort::open(node, node_settings.control, node_settings.advertise, handle)
        .await
        .map_err(|error| StartError::ControlPort(error.into()))
}

/// Starts the thread that writes to disk. Its results are delivered even if the inbox is full: otherwise
/// outputs that wait for a write would never be released.
fn start_disk_writer(
    folder: DataFolder,
    inbox: Inbox<ControllerInput>,
) -> mpsc::Sender<(u64, Vec<DiskWrite>)> {
    folder.start_writer(move |ticket, is_written| {
        inbox.push_blocking(if is_written {
            ControllerInput::WriteSynced { ticket }
        } else {
            ControllerInput::WriteFailed { ticket }
        });
    })
}

fn log_start(node_settings: &NodeSettings, node: NodeId) {
    let NodeSettings {
        control,
        serving,
        zone,
        ..
    } = node_settings;
    event(
        STARTED,
        format!("controller {node} control {control} serving {serving} zone {zone}"),
    );
}

/// Serves HTTP calls, each with its own handle.
async fn serve_calls(
    node_settings: &NodeSettings,
    handle: ControllerHandle,
    interface: Interface,
) -> Result<(), StartError> {
    let listener = listen(node_settings.serving)
        .await
        .map_err(|error| StartError::ServingPort(error.into()))?;
    let stop = Arc::new(AtomicBool::new(false));
    tokio::spawn(serve_http(listener, stop, move |_, request| {
        let response = interface(handle.for_new_call(), request);
        async move { Ok(response.await) }
    }));
    Ok(())
}
