//! Numbered events: every log line carries a number from this catalogue.

use std::fmt;

use flexi_logger::FlexiLoggerError;

/// One kind of event. Its number never changes.
#[derive(Debug, Clone, Copy)]
pub struct EventKind {
    /// The number in the log line, after an `E`.
    pub number: u16,
    /// The level of its log lines.
    pub level: log::Level,
    /// The name in the log line.
    pub name: &'static str,
    /// What it means to operators.
    pub meaning: &'static str,
}

macro_rules! catalogue {
    ($($number:literal $level:ident $name:ident $meaning:literal;)*) => {
        $(#[doc = $meaning]
        pub const $name: EventKind = EventKind {
            number: $number,
            level: log::Level::$level,
            name: stringify!($name),
            meaning: $meaning,
        };)*
        /// All events.
        pub const CATALOGUE: &[EventKind] = &[$($name),*];
    };
}

catalogue! {
    100 Info STARTED "The process has started; the line describes its role and location.";
    101 Info STOPPING "A graceful shutdown was requested.";
    102 Info STOPPED "The process has shut down.";
    110 Warn PROTOCOL_ERROR "Invalid data was received on the control port; the connection was closed.";
    111 Warn PORT_FAILURE "The control or HTTP port could not accept a connection.";
    112 Warn INBOX_FULL "The inbox is full: inputs are rejected, and clients receive status 503.";
    113 Info INBOX_DRAINED "The inbox accepts inputs again.";
    114 Info SETTINGS_READ "The settings were reloaded after the platform signalled a change.";
    115 Warn SETTINGS_FAULTY "The changed settings are invalid or cannot be read: the process keeps its current settings.";
    200 Info FOUNDED "No seed had any state; the membership was created with the seeds as its voters.";
    201 Info MAP_UPDATED "A map advanced to a later version.";
    202 Info LEADERSHIP_REQUESTED "This controller requests a leadership role under the given epoch.";
    203 Info OWNERSHIP_LEADER_ELECTED "This controller is the owner manager under the given epoch.";
    204 Error STATE_TOO_LARGE "The state no longer fits into a slot: this controller does not vote. Set a larger slot_mb.";
    205 Error DISK_REFUSED "A write to disk failed: this controller does not vote until a complete slot has been written.";
    206 Info DISK_RECOVERED "A complete slot was written after a failed write: this controller votes again.";
    207 Error DISK_DAMAGED "Synced data is missing or damaged: this controller starts without state and is no longer a voter.";
    208 Warn INSTANCE_GONE "No heartbeat of an instance was received within the timeout: a controller removes it, an agent marks it as suspected, and its proxy uses it only as long as it responds to requests.";
    209 Warn MEMBER_GONE "A member did not renew its lease and was removed.";
    210 Info VOTER_WANTED "The holder of the voter management role requests a change of voters.";
    211 Warn VOTER_REFUSED "A change of voters was due but would leave less than a majority of the voters alive.";
    212 Warn FENCED "A write by the holder of a leadership role was rejected: another holder has fenced the map, or the item has a later version.";
    213 Warn PIECE_REFUSED "A chunk of a snapshot was rejected; nothing of it is kept, and the local replica is unchanged.";
    214 Warn MAJORITY_LOST "Less than a majority of the voters respond: this controller confirms nothing until they do.";
    215 Warn SHUTDOWN_INCOMPLETE "A graceful shutdown ended before other controllers had all data of this one on their disks.";
    216 Warn VOTER_UNREACHABLE "A controller that is a voter has not responded within the suspicion timeout.";
    217 Info VOTER_MANAGEMENT_STARTED "This controller begins to replace voters, under the given epoch.";
    218 Info CANDIDATE_WAITING "A controller is missing among the voters, and this one cannot become a voter yet: the line counts the reasons since the last one.";
    219 Info VOTERS_CHANGED "The membership has other voters; the line lists them.";
    220 Info KEY_RANGES_REASSIGNED "The owner manager proposes new owners for key ranges: the line says of whom, why they may have new owners, and what was left of the lease.";
    221 Info INSTANCE_WARMING_UP "An instance reported to this controller that it is warming up, which it was not by its last heartbeat: the line says for how long, and the number of the heartbeat.";
    222 Info INSTANCE_DEREGISTERED "A controller recorded that an instance deregistered, or an agent removed it for that reason: the line says from whom it learned that.";
    223 Info LATE_HEARTBEAT_IGNORED "A heartbeat of a deregistered instance was ignored: it was sent before the deregistration and came late.";
    300 Info FRESH "The lease is valid, and the versions that it names are present.";
    301 Warn STALE "The lease has expired: the proxy rejects requests until it is renewed.";
    302 Warn PARTITION_FALLBACK_ENTERED "The controllers are unreachable; the responses of a majority of the agents keep this one fresh.";
    303 Info PARTITION_FALLBACK_LEFT "The partition fallback has ended: the controllers respond again, or too few agents do.";
    304 Warn CONTROL_LINK_SLOW "This follower of the controllers has no lease; the line counts its requests and responses since the last one, at most once a second.";
    400 Info READY "The proxy is ready.";
    401 Warn NOT_READY "The proxy is not ready.";
    402 Warn RESPONSE_TRUNCATED "A response ended early after a part of it was forwarded; the client's connection was closed.";
    403 Info REUSED_CONNECTION_LOST "A request was lost on a reused connection; its outcome was reported as unknown, or it was retried if it was a read.";
    404 Info SLOW_START_ENDED "The slow start of an instance that this proxy sent requests to has ended: the line counts them, and says how many a second it might send and why.";
    500 Info RUN_STEP "A step of a runbook or a drill.";
    501 Error RUN_FAILED "A step of a runbook or a drill failed.";
}

/// Logs one event.
pub fn event(kind: EventKind, text: impl fmt::Display) {
    log::log!(kind.level, "E{} {} {text}", kind.number, kind.name);
}

/// Starts logging to standard error; `RUST_LOG` may set another level than info.
///
/// Fails if `RUST_LOG` is invalid, or logging was already started.
pub fn start_log() -> Result<(), FlexiLoggerError> {
    flexi_logger::Logger::try_with_env_or_str("info")?
        .log_to_stderr()
        // A log on a full disk cannot be written, and neither can an error message about it; the process
        // must survive both.
        .error_channel(flexi_logger::ErrorChannel::DevNull)
        .format(|writer, now, record| {
            write!(
                writer,
                "{} {} {}",
                now.format_rfc3339(),
                record.level(),
                record.args()
            )
        })
        .start()?;
    Ok(())
}
