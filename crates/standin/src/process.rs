//! Child processes with captured output, signals and waits with a timeout.

use std::{
    collections::BTreeMap,
    ffi::OsString,
    io::{BufRead, BufReader, Read},
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, WaitId, WaitIdOptions, kill_process, waitid};
use snafu::ResultExt;

use crate::error::{ProcessSnafu, Result, SettingSnafu, ThreadSnafu, TimeoutSnafu};

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Output lines kept of each child; when there are more, the oldest are dropped.
const MAX_OUTPUT_LINES: usize = 100_000;

/// A signal that tests send to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: terminate gracefully.
    Term,
    /// SIGSTOP: suspend.
    Stop,
    /// SIGCONT: resume.
    Cont,
    /// SIGKILL: terminate at once.
    Kill,
    /// SIGHUP: reload the settings.
    Hangup,
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> Self {
        match signal {
            Signal::Term => Self::TERM,
            Signal::Stop => Self::STOP,
            Signal::Cont => Self::CONT,
            Signal::Kill => Self::KILL,
            Signal::Hangup => Self::HUP,
        }
    }
}

/// Settings of a child process.
#[derive(Clone, Debug, Default)]
pub struct ProcessSettings {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments.
    pub args: Vec<OsString>,
    /// Environment variables to add.
    pub envs: BTreeMap<OsString, OsString>,
    /// Whether output lines are also written to the standard error of this process.
    pub echo_output: bool,
}

/// A running child, killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: Arc<Output>,
}

#[derive(Debug, Default)]
struct Output {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl Output {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn push(&self, line: String) {
        let mut lines = self.lock();
        if lines.len() == MAX_OUTPUT_LINES {
            lines.remove(0);
        }
        lines.push(line);
        self.line_added.notify_all();
    }
}

impl Process {
    /// Starts a program and captures its standard output and standard error.
    ///
    /// # Errors
    ///
    /// Fails when the program or a thread cannot be started.
    pub fn start(settings: &ProcessSettings) -> Result<Self> {
        let name = settings.program.display().to_string();
        let mut command = Command::new(&settings.program);
        command
            .args(&settings.args)
            .envs(&settings.envs)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = {
            let _lock = lock_spawn_and_port_check();
            command.spawn().context(ProcessSnafu { name: &name })?
        };
        let output = Arc::new(Output::default());
        let streams = (child.stdout.take(), child.stderr.take());
        // `Process` owns the child from here on, so that it is killed if a thread cannot be
        // started.
        let process = Self {
            name,
            child,
            output,
        };
        if let (Some(stdout), Some(stderr)) = streams {
            process.capture_stream(stdout, settings.echo_output)?;
            process.capture_stream(stderr, settings.echo_output)?;
        }
        Ok(process)
    }

    fn capture_stream(&self, stream: impl Read + Send + 'static, echo_output: bool) -> Result<()> {
        let output = Arc::clone(&self.output);
        thread::Builder::new()
            .name("standin-output".to_owned())
            .spawn(move || {
                let mut reader = BufReader::new(stream);
                let mut buf = Vec::new();
                while reader.read_until(b'\n', &mut buf).is_ok_and(|len| len > 0) {
                    let line = String::from_utf8_lossy(&buf).trim_end().to_owned();
                    if echo_output {
                        eprintln!("{line}");
                    }
                    output.push(line);
                    buf.clear();
                }
            })
            .context(ThreadSnafu)?;
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output lines so far, of both streams in order of arrival.
    pub fn lines(&self) -> Vec<String> {
        self.output.lock().clone()
    }

    /// Waits for an output line that contains `text` and returns it. Lines that have already
    /// arrived count too.
    ///
    /// # Errors
    ///
    /// Fails when no such line arrives within `timeout`.
    pub fn wait_line(&self, text: &str, timeout: Duration) -> Result<String> {
        let deadline = Instant::now() + timeout;
        let mut lines = self.output.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let last = lines.last().map_or("none", String::as_str);
                let what = format!("a line with {text:?} from {}; last line: {last}", self.name);
                return TimeoutSnafu { what }.fail();
            }
            lines = match self.output.line_added.wait_timeout(lines, remaining) {
                Ok((lines, _)) => lines,
                Err(err) => err.into_inner().0,
            };
        }
    }

    /// Sends a signal. After [`Signal::Stop`], it waits until the process is stopped or has
    /// ended: the threads of a process keep running until one of them has handled the signal,
    /// which takes some ms on a busy host.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended and its status was read.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = Pid::from_child(&self.child);
        let mut sent = kill_process(id, signal.into());
        if signal == Signal::Stop {
            // With `NOWAIT`, the status stays available for `wait_exit`.
            let states = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
            sent = sent.and_then(|()| waitid(WaitId::Pid(id), states).map(|_| ()));
        }
        sent.map_err(std::io::Error::from)
            .context(ProcessSnafu { name: &self.name })
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let name = &self.name;
            if let Some(status) = self.child.try_wait().context(ProcessSnafu { name })? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                let what = format!("the exit of {name}");
                return TimeoutSnafu { what }.fail();
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends SIGTERM, waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `timeout`.
    pub fn terminate(&mut self, timeout: Duration) -> Result<ExitStatus> {
        self.signal(Signal::Term)?;
        self.wait_exit(timeout)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only when the process has ended. SIGKILL also ends a stopped process.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Waits until `condition` is true.
///
/// # Errors
///
/// Fails when it is not true within `timeout`.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<()> {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return TimeoutSnafu { what }.fail();
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Ports that [`free_addresses`] chooses from. They are below the range from which Linux
/// assigns ports to connections and to listeners on port 0 (32,768 and above by default).
const PORT_RANGE: Range<u16> = 10_000..32_000;

/// Prevents a child from being spawned while [`free_addresses`] has sockets open.
///
/// A child inherits every open socket and keeps it until it executes its program, so a port
/// would still be in use after its socket was closed here. `Command::spawn` returns only when
/// the program is executed.
fn lock_spawn_and_port_check() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(|err| err.into_inner())
}

/// Returns the next port to check; it wraps around at the end of [`PORT_RANGE`].
fn next_port() -> u16 {
    static NEXT: OnceLock<AtomicU32> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU32::new(u32::from(rand::random::<u16>())));
    let number = next.fetch_add(1, Ordering::Relaxed);
    PORT_RANGE.start + (number % u32::from(PORT_RANGE.end - PORT_RANGE.start)) as u16
}

/// Returns loopback addresses whose ports are currently free for TCP and UDP.
///
/// Each process starts at a random port and checks all other ports of the range before it
/// returns the same port again. Another process may take a port before it is used; so may a
/// child that this process starts at the same time by other means than [`Process::start`].
///
/// # Errors
///
/// Fails when too few ports are free.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let _lock = lock_spawn_and_port_check();
    let mut free = Vec::new();
    for _ in PORT_RANGE {
        if free.len() == count {
            return Ok(free);
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, next_port()));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            free.push(address);
        }
    }
    let reason = format!("fewer than {count} free ports");
    SettingSnafu { reason }.fail()
}
