//! A stand-in for the log service ("the store" of the platform): append-only topics of records
//! with offsets and limited retention, in memory.
//!
//! It implements the calls that a node makes: append, read, and the newest value of each key,
//! on partition 0.

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
pub use store::{StoreCopy, TopicRecord};
use store::{TopicStore, encode_keyed_record};

/// Settings of the log service.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where to listen for control requests; port 0 takes a free port.
    pub control: SocketAddr,
    /// Records kept per topic; when there are more, the oldest are dropped.
    pub keep_records: u64,
    /// Age in ms after which a record is dropped; 0 means no limit.
    pub keep_ms: u64,
    /// Era that the service states in the header `Store-Era` of all answers. It rises by one with
    /// each restore. `None` for a service that states none and lets reads from beyond the end wait.
    pub era: Option<u64>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            keep_records: 1_000_000,
            keep_ms: 0,
            era: None,
        }
    }
}

/// In which way the log service is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    /// The service is reachable.
    #[default]
    No,
    /// Connections are refused.
    Refuse,
    /// Connections are accepted and closed.
    Close,
}

/// Fault switches of the log service. Setting them replaces all; the default is no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether and in which way the service is unreachable.
    pub down: DownMode,
    /// Delay in ms before each response; an append takes effect before the delay.
    pub delay_ms: u64,
    /// Appends take effect, but the connection is closed without a response.
    pub lose_answers: bool,
    /// Every request is answered with 503 and has no effect.
    pub refuse: bool,
    /// Requests are read and never answered.
    pub silent: bool,
    /// Responses to reads are cut in the middle of the body.
    pub cut_answers: bool,
    /// Number of newest records that reads don't return, as if they had not been appended.
    pub hide_newest: u64,
}

#[derive(Debug)]
struct SharedLog {
    state: Mutex<LogState>,
    accept_mode: Arc<watch::Sender<AcceptMode>>,
}

#[derive(Debug, Default)]
struct LogState {
    store: TopicStore,
    faults: LogFaults,
    call_count: u64,
    era: Option<u64>,
    /// The copy taken by a control request.
    kept_copy: Option<StoreCopy>,
}

impl LogState {
    fn restore(&mut self, copy: &StoreCopy) {
        self.store.restore(copy);
        self.era = self.era.map(|era| era + 1);
    }
}

impl SharedLog {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn set_faults(&self, faults: LogFaults) {
        let accept_mode = match faults.down {
            DownMode::No => AcceptMode::Serve,
            DownMode::Refuse => AcceptMode::Refuse,
            DownMode::Close => AcceptMode::CloseAtOnce,
        };
        self.lock().faults = faults;
        self.accept_mode.send_replace(accept_mode);
    }
}

/// A running log service, stopped on drop.
#[derive(Debug)]
pub struct LogHandle {
    address: SocketAddr,
    control: SocketAddr,
    shared: Arc<SharedLog>,
    _thread: ServerThread,
}

/// Starts a log service in its own thread.
///
/// # Errors
///
/// Fails when a listener or the thread cannot be started.
pub fn start(settings: &LogSettings) -> Result<LogHandle> {
    let (main, address) = server::bind_listener(settings.listen)?;
    let (control_listener, control) = server::bind_listener(settings.control)?;
    let accept_mode = Arc::new(watch::Sender::new(AcceptMode::Serve));
    let shared = Arc::new(SharedLog {
        state: Mutex::new(LogState {
            store: TopicStore::new(settings.keep_records, settings.keep_ms),
            era: settings.era,
            ..Default::default()
        }),
        accept_mode: Arc::clone(&accept_mode),
    });
    let thread_shared = Arc::clone(&shared);
    let thread = ServerThread::start("standin-log", move |stopped| {
        let (handler, control_handler) = http::log_handlers(thread_shared);
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
    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the control address. It serves `GET /faults`, `PUT /faults`, `POST /append`,
    /// `POST /trim`, `POST /restart`, `POST /copy` and `POST /restore`. `POST /copy` keeps a copy of
    /// all topics in place of an earlier one; `POST /restore` puts it back, and is answered with 409
    /// if there is none.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the base URL of the service, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the current fault switches.
    pub fn faults(&self) -> LogFaults {
        self.shared.lock().faults.clone()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: LogFaults) {
        self.shared.set_faults(faults);
    }

    /// Drops the records of a topic below offset `oldest`.
    pub fn trim_before(&self, topic: &str, oldest: u64) {
        self.shared.lock().store.trim_before(topic, oldest);
    }

    /// Drops all records of a topic but the newest, as expiry by age does.
    pub fn expire_all_but_newest(&self, topic: &str) {
        let mut state = self.shared.lock();
        let end = state.store.read(topic, u64::MAX, 0).next_offset;
        state.store.trim_before(topic, end.saturating_sub(1));
    }

    /// Drops all topics, as a restart with loss of all data does; offsets start at 0 again.
    pub fn restart_without_data(&self) {
        self.shared.lock().store.clear();
    }

    /// Returns a copy of all topics.
    pub fn copy(&self) -> StoreCopy {
        self.shared.lock().store.copy()
    }

    /// Replaces all topics by those of a copy and raises the era by one. Records that are not in the
    /// copy are lost, and their offsets are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        self.shared.lock().restore(copy);
    }

    /// Returns the era that the service states; `None` if it states none.
    pub fn era(&self) -> Option<u64> {
        self.shared.lock().era
    }

    /// Appends a record, regardless of the fault switches, and returns its offset.
    pub fn append(&self, topic: &str, data: &str) -> u64 {
        let record = Bytes::from(data.to_owned());
        self.shared.lock().store.append(topic, record)
    }

    /// Appends a value of a key, as an operator does, regardless of the fault switches, and
    /// returns the offset of the record.
    pub fn append_keyed(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let record = encode_keyed_record(key, value);
        self.shared.lock().store.append(topic, record)
    }

    /// Returns the number of requests to the main address so far.
    pub fn call_count(&self) -> u64 {
        self.shared.lock().call_count
    }

    /// Returns all records that a topic keeps, regardless of the fault switches.
    pub fn records(&self, topic: &str) -> Vec<TopicRecord> {
        let batch = self.shared.lock().store.read(topic, 0, 0);
        let records = batch.records.iter().zip(batch.oldest_offset..);
        records
            .map(|(record, offset)| TopicRecord {
                offset,
                data: String::from_utf8_lossy(record).into_owned(),
            })
            .collect()
    }
}
