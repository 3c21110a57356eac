//! The core process: its state machine in an actor, its disk, and its interface over HTTP.
//!
//! [`host`] carries the state machine's outputs out, [`handle`] brings calls to it, [`http_api`] is the
//! product's own interface, and [`events`] writes the log.

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

/// The bytes of a megabyte in the settings.
const MEGABYTE: u64 = 1024 * 1024;

/// What responds to calls over HTTP: the product's own interface, or another that stands in for it.
pub type Interface =
    Arc<dyn Fn(ControllerHandle, Request<Incoming>) -> BoxedResponse + Send + Sync + 'static>;

/// The product's own interface.
pub fn own_interface() -> Interface {
    Arc::new(|handle, request| Box::pin(async move { handle.respond(request).await }))
}

/// The error of a library below, which says itself what went wrong.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a controller cannot start. The texts are those of the causes.
#[derive(Debug, Error)]
pub enum StartError {
    /// The limits on file sizes cannot be lifted.
    #[error(transparent)]
    FileLimits(Cause),
    /// The data folder cannot be opened or read.
    #[error(transparent)]
    DataFolder(Cause),
    /// The port for messages of other nodes cannot be opened.
    #[error(transparent)]
    ControlPort(Cause),
    /// The port for calls over HTTP cannot be opened.
    #[error(transparent)]
    ServingPort(Cause),
}

/// Runs a controller until it is asked to stop and the graceful shutdown is done.
///
/// An error means that it never started: a port is taken, or the data folder is not usable.
pub async fn run(
    node_settings: NodeSettings,
    reread: ReloadSettings,
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
        .for_each(|input| host.take(clock.now(), input));
    spawn_actor(host, clock, receiver, node_settings.terms.tick);
    let stopping = handle.stopping.clone();
    serve_calls(&node_settings, handle, interface).await?;
    let settings = inbox.clone();
    follow_settings(reread, move |seeds| {
        settings.give(ControllerInput::SeedsChanged { seeds });
    });
    shutdown_signal().await;
    event(STOPPING, "");
    stopping.store(true, Ordering::SeqCst);
    shut_down_gracefully(&inbox, ControllerInput::Shutdown, &stopped).await;
    event(STOPPED, "");
    Ok(())
}

/// Starts the state machine from the data folder. The outputs of its start are not carried out yet.
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
    .core(node_settings.terms.core.clone());
    let (machine, outputs) = ControllerMachine::start(options, &image, random_seed());
    Ok((folder, machine, outputs))
}

async fn open_control_port(
    node_settings: &NodeSettings,
    node: NodeId,
    inbox: Inbox<ControllerInput>,
) -> Result<ControlPort, StartError> {
    let handle = move |envelope| {
        inbox.give(ControllerInput::MessageReceived { envelope });
    };
    ControlPort::open(node, node_settings.control, node_settings.advertise, handle)
        .await
        .map_err(|error| StartError::ControlPort(error.into()))
}

/// Starts the thread that writes to disk. Its reports are given even when the inbox is full: without them
/// nothing that waits for a write would ever leave.
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

/// Serves calls over HTTP, each with a handle of its own.
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
        let answering = interface(handle.for_call_received_now(), request);
        async move { Ok(answering.await) }
    }));
    Ok(())
}
