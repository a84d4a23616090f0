//! Parses the command blocks of a Markdown page and the output lines that it shows.

/// A fenced block of shell commands.
pub(crate) struct Block {
    /// Line number of the opening fence, for failure messages.
    pub(crate) line: usize,
    pub(crate) commands: String,
    /// Lines that the output must contain in this order. Other lines may come in between.
    pub(crate) expected: Vec<String>,
    /// Whether the commands are repeated until the output contains all expected lines.
    pub(crate) retry: bool,
}

/// Returns the command blocks of a page. A fence `sh` opens a block, and `sh retry` opens
/// one that is repeated. A fence `text` holds the expected lines of the preceding block.
/// Other fences, such as `sh not-run`, are ignored.
pub(crate) fn blocks(page: &str) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    let mut lines = page.lines().enumerate();
    while let Some((number, line)) = lines.next() {
        let Some(info) = line.strip_prefix("```") else {
            continue;
        };
        let body: Vec<&str> = lines
            .by_ref()
            .map(|(_, line)| line)
            .take_while(|line| *line != "```")
            .collect();
        match info {
            "sh" | "sh retry" => blocks.push(Block {
                line: number + 1,
                commands: body.join("\n"),
                expected: Vec::new(),
                retry: info == "sh retry",
            }),
            "text" => {
                let block = blocks
                    .last_mut()
                    .expect("a `text` fence follows a command block");
                block.expected.extend(body.into_iter().map(str::to_owned));
            }
            _ => (),
        }
    }
    blocks
}

impl Block {
    /// Returns the first expected line that the output does not contain.
    pub(crate) fn first_missing_line<'a>(&'a self, output: &[String]) -> Option<&'a str> {
        let mut output = output.iter();
        self.expected
            .iter()
            .filter(|line| !matches!(line.trim(), "" | "…"))
            .find(|line| !output.by_ref().any(|found| matches_pattern(found, line)))
            .map(String::as_str)
    }
}

/// Returns whether a line contains the pattern. `…` matches any text, and runs of white
/// space count as one space.
fn matches_pattern(line: &str, pattern: &str) -> bool {
    let line = collapse_whitespace(line);
    let pattern = collapse_whitespace(pattern);
    let mut rest = line.as_str();
    pattern.split('…').map(str::trim).all(|part| {
        let found = rest.find(part);
        rest = found.map_or("", |at| &rest[at + part.len()..]);
        found.is_some()
    })
}

fn collapse_whitespace(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
