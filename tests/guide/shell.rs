//! A shell that runs the command blocks of a page, as an operator pastes them.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::{Duration, Instant},
};

/// Marks the end of the output of a block.
const END: &str = "end-of-block";

/// Longest time of one block. Replacing every node takes the longest.
const BLOCK_LIMIT: Duration = Duration::from_secs(120);

/// Longest time for the processes to end after the page has stopped them.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// A running shell. It leads a process group, which holds everything that it starts.
pub(crate) struct Shell {
    child: Child,
    stdin: ChildStdin,
    lines: Receiver<String>,
    dir: PathBuf,
}

impl Shell {
    /// Starts a shell that finds the programs in `bin` and makes its files in `dir`.
    pub(crate) fn start(bin: &Path, dir: PathBuf) -> Self {
        fs::create_dir_all(&dir).expect("directory");
        let path = std::env::var("PATH").unwrap_or_default();
        let mut child = Command::new("bash")
            .arg("--norc")
            .env("PATH", format!("{}:{path}", bin.display()))
            .env("TMPDIR", &dir)
            .env_remove("PLANTAINPOST_TOKEN")
            .current_dir(&dir)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .process_group(0)
            .spawn()
            .expect("bash");
        let mut stdin = child.stdin.take().expect("pipe");
        writeln!(stdin, "exec 2>&1").expect("pipe");
        let stdout = child.stdout.take().expect("pipe");
        let (tx, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        Shell {
            child,
            stdin,
            lines,
            dir,
        }
    }

    /// Runs commands and returns what they print.
    pub(crate) fn run(&mut self, commands: &str) -> Vec<String> {
        let deadline = Instant::now() + BLOCK_LIMIT;
        write!(self.stdin, "{commands}\nprintf '\\n%s\\n' {END}\n").expect("the shell runs");
        let mut output = Vec::new();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line == END => return output,
                Ok(line) => output.push(line),
                Err(e) => panic!("{e} after {}\n{commands}", output.join("\n")),
            }
        }
    }

    /// Returns what the programs wrote to their files, for the message of a failure.
    pub(crate) fn logs(&self) -> String {
        let output = Command::new("bash")
            .args(["-c", "tail -n 15 */*.out"])
            .current_dir(&self.dir)
            .output();
        output.map_or_else(
            |e| e.to_string(),
            |output| String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    }

    /// Sends a signal to the shell and everything that it started.
    fn signal(&self, signal: &str) {
        let group = format!("-{}", self.child.id());
        let _ = Command::new("kill")
            .args([signal, "--", &group])
            .stderr(Stdio::null())
            .status();
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        self.signal("-TERM");
        let deadline = Instant::now() + STOP_LIMIT;
        while Instant::now() < deadline && matches!(self.child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(50));
        }
        self.signal("-KILL");
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}
