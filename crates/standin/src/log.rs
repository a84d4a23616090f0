//! The platform's store: topics of records with offsets, kept for a limited time.
//!
//! It covers the calls that a node makes: append, read and newest, on partition 0.

mod http;
mod store;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    error::Result,
    server::{self, AcceptMode, ServerThread},
};

use bytes::Bytes;
pub use store::Entry;
use store::{Store, keyed_record};

/// Settings of the store.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where to listen for fault switches.
    pub control: SocketAddr,
    /// Records kept per topic; the oldest beyond this count are trimmed.
    pub keep_records: u64,
    /// Age in ms after which a record is trimmed; 0 keeps records without regard to age.
    pub keep_ms: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            keep_records: 1_000_000,
            keep_ms: 0,
        }
    }
}

/// How the store is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It is reachable.
    #[default]
    No,
    /// Connections are refused.
    Refuse,
    /// Connections are accepted and closed.
    Close,
}

/// Fault switches of the store. A value states all of them; the default is no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether the service is reachable.
    pub down: Down,
    /// Delay in ms before each answer; an append takes effect before the delay.
    pub delay_ms: u64,
    /// Appends take effect, but the connection is closed without an answer.
    pub lose_answers: bool,
    /// Every call is answered with 503 and has no effect.
    pub refuse: bool,
    /// Calls are taken and never answered.
    pub silent: bool,
    /// The answers to reads are cut in their middle.
    pub cut_answers: bool,
    /// Reads answer as if the newest records, this many, did not exist yet.
    pub hide_newest: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    accept_mode: Arc<watch::Sender<AcceptMode>>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: LogFaults,
    calls: u64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn set_faults(&self, faults: LogFaults) {
        let accept_mode = match faults.down {
            Down::No => AcceptMode::Serve,
            Down::Refuse => AcceptMode::Refuse,
            Down::Close => AcceptMode::CloseAtOnce,
        };
        self.lock().faults = faults;
        self.accept_mode.send_replace(accept_mode);
    }
}

/// A running store, stopped on drop.
#[derive(Debug)]
pub struct LogHandle {
    address: SocketAddr,
    control: SocketAddr,
    shared: Arc<Shared>,
    _thread: ServerThread,
}

/// Starts a store in its own thread.
///
/// # Errors
///
/// Fails when a listener or the thread cannot be started.
pub fn start(settings: &LogSettings) -> Result<LogHandle> {
    let (main, address) = server::bind_listener(settings.listen)?;
    let (control_listener, control) = server::bind_listener(settings.control)?;
    let accept_mode = Arc::new(watch::Sender::new(AcceptMode::Serve));
    let shared = Arc::new(Shared {
        state: Mutex::new(State {
            store: Store::new(settings.keep_records, settings.keep_ms),
            ..Default::default()
        }),
        accept_mode: Arc::clone(&accept_mode),
    });
    let served = Arc::clone(&shared);
    let thread = ServerThread::start("standin-log", move |stopped| {
        let (handler, control_handler) = http::handlers(served);
        server::serve_main_and_control(
            main,
            handler,
            control_listener,
            control_handler,
            accept_mode,
            stopped,
        )
    })?;
    Ok(LogHandle {
        address,
        control,
        shared,
        _thread: thread,
    })
}

impl LogHandle {
    /// The address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that takes `PUT /faults`, `POST /trim` and `POST /restart`.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// The base URL of the service, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The fault switches in force.
    pub fn faults(&self) -> LogFaults {
        self.shared.lock().faults.clone()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: LogFaults) {
        self.shared.set_faults(faults);
    }

    /// Trims the records of a topic below offset `oldest`.
    pub fn trim(&self, topic: &str, oldest: u64) {
        self.shared.lock().store.trim(topic, oldest);
    }

    /// Drops all records of a topic but the newest, as expiry does.
    pub fn expire(&self, topic: &str) {
        let mut state = self.shared.lock();
        let end = state.store.read(topic, u64::MAX, 0).next;
        state.store.trim(topic, end.saturating_sub(1));
    }

    /// Forgets all topics, as after a restart without its data; offsets start at 0 again.
    pub fn restart_empty(&self) {
        self.shared.lock().store.clear();
    }

    /// Appends a record without regard to the fault switches.
    pub fn append(&self, topic: &str, data: &str) -> u64 {
        let record = Bytes::from(data.to_owned());
        self.shared.lock().store.append(topic, record)
    }

    /// Writes the value of a key as an operator does, without regard to the fault switches.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let record = keyed_record(key, value);
        self.shared.lock().store.append(topic, record)
    }

    /// The number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// All records that a topic keeps, without regard to the fault switches.
    pub fn records(&self, topic: &str) -> Vec<Entry> {
        let batch = self.shared.lock().store.read(topic, 0, 0);
        let records = batch.records.iter().zip(batch.oldest..);
        records
            .map(|(record, offset)| Entry {
                offset,
                data: String::from_utf8_lossy(record).into_owned(),
            })
            .collect()
    }
}
