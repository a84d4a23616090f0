//! A bash process that runs the command blocks of a page one after the other, as an operator
//! would.

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

/// Line that the shell prints after each block, so that the end of its output is known.
const END_MARKER: &str = "end-of-block";

/// Time limit for one block. The block that replaces every node takes the longest.
const BLOCK_TIME_LIMIT: Duration = Duration::from_secs(120);

/// Time limit for the processes to exit after SIGTERM, before they get SIGKILL.
const STOP_TIME_LIMIT: Duration = Duration::from_secs(5);

/// A running shell that leads a process group, so that signals reach all its children.
pub(crate) struct Shell {
    child: Child,
    stdin: ChildStdin,
    lines: Receiver<String>,
    dir: PathBuf,
}

impl Shell {
    /// Starts a shell with `bin` on its `PATH` and with `dir` as its working directory.
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

    /// Runs commands and returns the lines of their output.
    ///
    /// # Panics
    ///
    /// Panics if the commands run longer than [`BLOCK_TIME_LIMIT`] or the shell ends.
    pub(crate) fn run(&mut self, commands: &str) -> Vec<String> {
        let deadline = Instant::now() + BLOCK_TIME_LIMIT;
        write!(self.stdin, "{commands}\nprintf '\\n%s\\n' {END_MARKER}\n").expect("the shell runs");
        let mut output = Vec::new();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line == END_MARKER => return output,
                Ok(line) => output.push(line),
                Err(e) => panic!(
                    "no end of the block: {e}; output:\n{}\ncommands:\n{commands}",
                    output.join("\n")
                ),
            }
        }
    }

    /// Returns the last lines of the programs' output files, for failure messages.
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

    /// Sends a signal to the process group of the shell.
    fn signal_group(&self, signal: &str) {
        let group = format!("-{}", self.child.id());
        let _ = Command::new("kill")
            .args([signal, "--", &group])
            .stderr(Stdio::null())
            .status();
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        self.signal_group("-TERM");
        let deadline = Instant::now() + STOP_TIME_LIMIT;
        while Instant::now() < deadline && matches!(self.child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(50));
        }
        self.signal_group("-KILL");
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}
