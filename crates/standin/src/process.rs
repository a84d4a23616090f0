//! Child processes with captured output, deadlines and signals.

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

/// Pause between two looks at a condition.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Lines kept of each child; the oldest beyond this count are dropped.
const MAX_LINES: usize = 100_000;

/// A signal that tests send to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stop gracefully.
    Term,
    /// SIGSTOP: freeze.
    Stop,
    /// SIGCONT: resume.
    Cont,
    /// SIGKILL: stop at once.
    Kill,
    /// SIGHUP: read the settings again.
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

/// What to start.
#[derive(Clone, Debug, Default)]
pub struct ProcessSettings {
    /// The program file.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<OsString>,
    /// Environment variables to add.
    pub envs: BTreeMap<OsString, OsString>,
    /// Whether output lines are also written to the standard error of this process.
    pub echo: bool,
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
    grown: Condvar,
}

impl Output {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn push(&self, line: String) {
        let mut lines = self.lock();
        if lines.len() == MAX_LINES {
            lines.remove(0);
        }
        lines.push(line);
        self.grown.notify_all();
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
            let _lock = lock_sockets();
            command.spawn().context(ProcessSnafu { name: &name })?
        };
        let output = Arc::new(Output::default());
        let streams = (child.stdout.take(), child.stderr.take());
        // Owns the child from here on, so that it is killed when a thread cannot be started.
        let process = Self {
            name,
            child,
            output,
        };
        if let (Some(stdout), Some(stderr)) = streams {
            process.capture(stdout, settings.echo)?;
            process.capture(stderr, settings.echo)?;
        }
        Ok(process)
    }

    fn capture(&self, stream: impl Read + Send + 'static, echo: bool) -> Result<()> {
        let output = Arc::clone(&self.output);
        thread::Builder::new()
            .name("standin-output".to_owned())
            .spawn(move || {
                let mut reader = BufReader::new(stream);
                let mut buf = Vec::new();
                while reader.read_until(b'\n', &mut buf).is_ok_and(|len| len > 0) {
                    let line = String::from_utf8_lossy(&buf).trim_end().to_owned();
                    if echo {
                        eprintln!("{line}");
                    }
                    output.push(line);
                    buf.clear();
                }
            })
            .context(ThreadSnafu)?;
        Ok(())
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The output lines so far, of both streams in order of arrival.
    pub fn lines(&self) -> Vec<String> {
        self.output.lock().clone()
    }

    /// Waits for an output line that contains `text`, also among those that came already,
    /// and returns it.
    ///
    /// # Errors
    ///
    /// Fails when no such line arrives within `limit`.
    pub fn wait_line(&self, text: &str, limit: Duration) -> Result<String> {
        let deadline = Instant::now() + limit;
        let mut lines = self.output.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let last = lines.last().map_or("none", String::as_str);
                let what = format!("a line with {text:?} of {}; last line: {last}", self.name);
                return TimeoutSnafu { what }.fail();
            }
            lines = match self.output.grown.wait_timeout(lines, left) {
                Ok((lines, _)) => lines,
                Err(err) => err.into_inner().0,
            };
        }
    }

    /// Sends a signal. With [`Signal::Stop`] it returns when the process is frozen or has
    /// ended: the kernel lets other threads of a process run until one of them has taken
    /// the signal, which takes some ms on a busy host.
    ///
    /// # Errors
    ///
    /// Fails when the process ended already and its status was read.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = Pid::from_child(&self.child);
        let mut sent = kill_process(id, signal.into());
        if signal == Signal::Stop {
            // `NOWAIT` leaves the status to `wait_exit`.
            let states = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
            sent = sent.and_then(|()| waitid(WaitId::Pid(id), states).map(|_| ()));
        }
        sent.map_err(std::io::Error::from)
            .context(ProcessSnafu { name: &self.name })
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            let name = &self.name;
            if let Some(status) = self.child.try_wait().context(ProcessSnafu { name })? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                let what = format!("the end of {name}");
                return TimeoutSnafu { what }.fail();
            }
            thread::sleep(POLL_PAUSE);
        }
    }

    /// Sends SIGTERM and waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `limit`.
    pub fn terminate(&mut self, limit: Duration) -> Result<ExitStatus> {
        self.signal(Signal::Term)?;
        self.wait_exit(limit)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has ended. SIGKILL also ends a frozen process.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Waits until `condition` is true.
///
/// # Errors
///
/// Fails when it is not true within `limit`.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) -> Result<()> {
    let deadline = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= deadline {
            return TimeoutSnafu { what }.fail();
        }
        thread::sleep(POLL_PAUSE);
    }
    Ok(())
}

/// Ports that [`free_addresses`] chooses from. They are below the range from which Linux
/// takes ports for connections and for listeners on port 0 (from 32,768 on by default).
const FREE_PORTS: Range<u16> = 10_000..32_000;

/// Keeps the sockets that [`free_addresses`] opens from being copied into a child.
///
/// A child has a copy of every open socket until it runs its program, so a port would still
/// be taken after its socket was closed here. `Command::spawn` returns when the program runs.
fn lock_sockets() -> MutexGuard<'static, ()> {
    static SOCKETS: Mutex<()> = Mutex::new(());
    SOCKETS.lock().unwrap_or_else(|err| err.into_inner())
}

/// The port after the one that was chosen last in this process.
fn next_port() -> u16 {
    static NEXT: OnceLock<AtomicU32> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU32::new(u32::from(rand::random::<u16>())));
    let number = next.fetch_add(1, Ordering::Relaxed);
    FREE_PORTS.start + (number % u32::from(FREE_PORTS.end - FREE_PORTS.start)) as u16
}

/// Loopback addresses with ports that are free for TCP and UDP now.
///
/// A process does not choose a port twice before it has gone through the whole range, and
/// starts at a random place in it. Another process may take a port before it is used, and
/// so may a child that this process starts at the same time in another way than with
/// [`Process::start`].
///
/// # Errors
///
/// Fails when too few ports are free.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let _lock = lock_sockets();
    let mut free = Vec::new();
    for _ in FREE_PORTS {
        if free.len() == count {
            return Ok(free);
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, next_port()));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            free.push(address);
        }
    }
    let reason = format!("there are no {count} free ports");
    SettingSnafu { reason }.fail()
}
