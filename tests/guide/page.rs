//! The command blocks of a page and the lines that they print.

/// A block of commands.
pub(crate) struct Block {
    /// Line of the page at which the block begins, for messages.
    pub(crate) line: usize,
    pub(crate) commands: String,
    /// Lines that the commands print, in this order; other lines may lie between them.
    pub(crate) expected: Vec<String>,
    /// Whether the commands are repeated until they print these lines.
    pub(crate) retry: bool,
}

/// Returns the blocks of a page. A fence `sh` begins a block and `sh retry` one that is
/// repeated; a fence `text` gives the lines of the block before it. Other fences, such as
/// `sh not-run`, are for readers only.
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
                let block = blocks.last_mut().expect("commands come before their lines");
                block.expected.extend(body.into_iter().map(str::to_owned));
            }
            _ => (),
        }
    }
    blocks
}

impl Block {
    /// Returns the first expected line that the output lacks.
    pub(crate) fn missing<'a>(&'a self, output: &[String]) -> Option<&'a str> {
        let mut output = output.iter();
        self.expected
            .iter()
            .filter(|line| !matches!(line.trim(), "" | "…"))
            .find(|line| !output.by_ref().any(|found| is_like(found, line)))
            .map(String::as_str)
    }
}

/// Returns whether a line holds the words of the pattern; `…` stands for any text, and the
/// width of spaces does not count.
fn is_like(line: &str, pattern: &str) -> bool {
    let line = words(line);
    let pattern = words(pattern);
    let mut rest = line.as_str();
    pattern.split('…').map(str::trim).all(|part| {
        let found = rest.find(part);
        rest = found.map_or("", |at| &rest[at + part.len()..]);
        found.is_some()
    })
}

fn words(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
