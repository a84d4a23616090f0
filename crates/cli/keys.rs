//! All settings keys, in one table that drives parsing, defaults, checks and the
//! output of `check`.

use crate::value::Kind;

/// What happens if a key is absent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Absent {
    /// The file is wrong. The text is an example.
    Required(&'static str),
    /// The file is wrong unless an environment variable gives the value. The texts are an
    /// example and the name of the variable.
    RequiredUnless(&'static str, &'static str),
    /// The setting has no value. The text is an example.
    Optional(&'static str),
    /// The setting has this value.
    Default(&'static str),
}

/// Settings key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Key {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) absent: Absent,
    /// What the setting is for.
    pub(crate) help: &'static str,
}

/// Policies for choosing a target. The first is the default; the others are baselines
/// for comparison.
const POLICIES: &[&str] = &[
    "predicted-completion",
    "random",
    "round-robin",
    "least-in-flight",
    "two-choices-reported",
];

const EXAMPLE_HEAD: &str = "\
# Settings of a plantainpost node. `plantainpost check --example` prints this file, and
# `plantainpost check FILE` checks a file and prints the values in force.
#
# Comments stand on lines of their own. File names are relative to the directory in
# which the node is started. Lines that are commented out show defaults or examples.
";

const fn key(
    section: &'static str,
    name: &'static str,
    kind: Kind,
    absent: Absent,
    help: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        absent,
        help,
    }
}

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// All keys, in the order in which `check` prints them.
#[rustfmt::skip]
pub(crate) const KEYS: &[Key] = &[
    key("node", "name", Kind::Name, Absent::Required("stock-1"),
        "Name of this node, unique in the fleet."),
    key("node", "data_centre", Kind::Name, Absent::Required("pos"),
        "Data centre of this host."),
    key("node", "region", Kind::Name, Absent::Required("north"),
        "Region of the data centre."),
    key("node", "ip", Kind::HostIp, Absent::Required("10.0.0.7"),
        "IP number at which other nodes reach this host."),

    key("node", "interface", Kind::Choice(&["product", "platform"]), Absent::Default("product"),
        "Interface towards callers, targets and operators: the product's own, or that of the users' platform."),
    key("node", "service", Kind::Name, Absent::Optional("stock"),
        "Service of the target on this host, told to the targets of requests that begin here."),

    key("listen", "callers", Kind::Address, Absent::Default("0.0.0.0:8080"),
        "Requests of callers, HTTP/1.1."),
    key("listen", "admin", Kind::Address, Absent::Default("127.0.0.1:8081"),
        "Operators and the target. Any address but loopback needs a token."),
    key("listen", "peer_tcp", Kind::Address, Absent::Default("0.0.0.0:8082"),
        "Requests of other nodes."),
    key("listen", "peer_udp", Kind::Address, Absent::Default("0.0.0.0:8082"),
        "Membership and probes of other nodes."),
    key("listen", "metrics", Kind::Address, Absent::Optional("10.0.0.7:8083"),
        "Counters and latencies as text, at any path. It needs no token and changes nothing."),
    key("listen", "control", Kind::Addresses, Absent::Default(""),
        "Announcements of the target and readiness checks in the form of the platform."),

    key("peers", "contacts", Kind::Addresses, Absent::Default(""),
        "UDP addresses of nodes to contact first. Only the first node of a fleet has none."),

    key("log", "address", Kind::HostPort, Absent::Required("10.0.0.9:9000"),
        "Address of the log service, HTTP/1.1."),
    key("log", "poll", Kind::Time(100, 60_000), Absent::Default("1 s"),
        "Least mean time between two reads of the log by this node. Large fleets read more rarely."),

    key("security", "key_file", Kind::Path, Absent::RequiredUnless("fleet.key", "PLANTAINPOST_KEY"),
        "File with the fleet key, at least 32 bytes."),
    key("security", "second_key_file", Kind::Path, Absent::Optional("next-fleet.key"),
        "File with a second fleet key that is accepted while keys are changed."),
    key("security", "token_file", Kind::Path, Absent::Optional("admin.token"),
        "File with the bearer token of the admin listener; otherwise PLANTAINPOST_TOKEN is used if set."),

    key("limits", "header", Kind::Size(KIB, 128 * KIB), Absent::Default("16 KiB"),
        "Largest head of a request or an answer."),
    key("limits", "body", Kind::Size(KIB, 1024 * MIB), Absent::Default("32 MiB"),
        "Largest body of a request or an answer."),
    key("limits", "connections", Kind::Count(1, 65_536), Absent::Default("1024"),
        "Connections of callers at once."),
    key("limits", "queue", Kind::Count(0, 2), Absent::Default("2"),
        "Requests that may wait for the target, as a multiple of its slots."),
    key("limits", "default_timeout", Kind::Time(1, 120_000), Absent::Default("10 s"),
        "Time for a request whose caller gives none."),
    key("limits", "max_timeout", Kind::Time(1, 120_000), Absent::Default("120 s"),
        "Longest time that a caller may give."),
    key("limits", "connect_timeout", Kind::Time(1, 10_000), Absent::Default("250 ms"),
        "Time to open a connection to another node or the target."),
    key("limits", "head_timeout", Kind::Time(10, 60_000), Absent::Default("5 s"),
        "Time in which a caller must send the head of a request."),
    key("limits", "idle_timeout", Kind::Time(1_000, 60_000), Absent::Default("30 s"),
        "Time after which an unused connection is closed."),
    key("limits", "stop_timeout", Kind::Time(1_000, 600_000), Absent::Default("130 s"),
        "Time for requests in flight to finish at a planned stop. Not less than max_timeout."),

    key("platform", "announce_every", Kind::Time(100, 60_000), Absent::Default("1500 ms"),
        "Time between two announcements of a target."),
    key("platform", "probes", Kind::Bound(0, 1_000), Absent::Default("60"),
        "Health checks that the target may get in a second, for the pace of its host."),
    key("platform", "grace", Kind::Time(1_000, 600_000), Absent::Optional("6 s"),
        "Time after which a node that was told to stop is killed. Without it stop_timeout alone counts."),

    key("retry", "earned", Kind::Count(0, 100), Absent::Default("10"),
        "Extra requests that 100 successful requests of a service earn at one node."),
    key("retry", "fleet_slack", Kind::Bound(0, 1_000_000), Absent::Optional("50"),
        "Extra requests that all nodes together may send beyond those that were earned."),

    key("balance", "policy", Kind::Choice(POLICIES), Absent::Default("predicted-completion"),
        "Policy for choosing a target. All but the default are baselines for comparison."),
    key("balance", "transfer_cost", Kind::Time(0, 1_000), Absent::Default("0 ms"),
        "Time that is worth as much as a KiB less sent to another data centre."),

    key("output", "format", Kind::Choice(&["text", "json"]), Absent::Default("text"),
        "Format of log lines on standard output."),
    key("output", "statsd", Kind::Address, Absent::Optional("127.0.0.1:8125"),
        "StatsD server that gets all metrics over UDP."),
    key("output", "level", Kind::Choice(&["critical", "error", "warning", "info", "debug", "trace"]),
        Absent::Default("info"),
        "Least severity of log lines."),
];

/// Returns a commented settings file with all keys.
pub(crate) fn example() -> String {
    let mut text = EXAMPLE_HEAD.to_owned();
    let mut section = "";
    for key in KEYS {
        text.push('\n');
        if key.section != section {
            section = key.section;
            text.push_str(&format!("[{section}]\n"));
        }
        let (mark, value, absent) = match key.absent {
            Absent::Required(value) => ("", value, "Required.".to_owned()),
            Absent::RequiredUnless(value, variable) => {
                ("", value, format!("Required unless {variable} is set."))
            }
            Absent::Optional(value) => ("# ", value, "Optional.".to_owned()),
            Absent::Default("") => ("# ", "", "Default: none.".to_owned()),
            Absent::Default(value) => ("# ", value, format!("Default: {value}.")),
        };
        let name = key.name;
        let (help, allowed) = (key.help, key.kind.allowed());
        let line = format!("{mark}{name} = {value}");
        let line = line.trim_end();
        text.push_str(&format!(
            "# {help}\n# Allowed: {allowed}. {absent}\n{line}\n\n"
        ));
    }
    text
}

/// Returns the key of a section with a name.
pub(crate) fn find(section: &str, name: &str) -> Option<&'static Key> {
    KEYS.iter()
        .find(|key| key.section == section && key.name == name)
}

/// Returns the known name that is nearest to `name`.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> &'a str {
    known
        .min_by_key(|known| distance(name, known))
        .unwrap_or("")
}

/// Returns the number of insertions, deletions and substitutions between two names.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, a) in a.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
