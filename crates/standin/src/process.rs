//! Child processes with captured output, deadlines and signals.

use std::{
    collections::BTreeMap,
    ffi::OsString,
    io::{BufRead, BufReader, Read},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, kill_process};
use snafu::ResultExt;

use crate::error::{Error, ListenSnafu, ProcessSnafu, Result, ThreadSnafu, TimeoutSnafu};

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
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> Self {
        match signal {
            Signal::Term => Self::TERM,
            Signal::Stop => Self::STOP,
            Signal::Cont => Self::CONT,
            Signal::Kill => Self::KILL,
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
        let mut child = Command::new(&settings.program)
            .args(&settings.args)
            .envs(&settings.envs)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .context(ProcessSnafu { name: &name })?;
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
                let what = format!("a line with {text:?} of {}", self.name);
                return TimeoutSnafu { what }.fail();
            }
            lines = match self.output.grown.wait_timeout(lines, left) {
                Ok((lines, _)) => lines,
                Err(err) => err.into_inner().0,
            };
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process ended already and its status was read.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal.into())
            .map_err(std::io::Error::from)
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

/// Loopback addresses with ports that are free for TCP and UDP now.
///
/// All ports are held until the last one is chosen, so they differ. Another process may
/// take a port before it is used.
///
/// # Errors
///
/// Fails when too few ports are free.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut held = Vec::new();
    // A TCP port may be taken for UDP, so there are more attempts than ports.
    for _ in 0..count * 4 + 16 {
        if held.len() == count {
            break;
        }
        let tcp = TcpListener::bind(any).context(ListenSnafu { address: any })?;
        let address = tcp.local_addr().context(ListenSnafu { address: any })?;
        if let Ok(udp) = std::net::UdpSocket::bind(address) {
            held.push((address, tcp, udp));
        }
    }
    if held.len() < count {
        return Err(Error::Timeout {
            what: format!("{count} free ports"),
        });
    }
    Ok(held.into_iter().map(|(address, ..)| address).collect())
}
