//! Table of all settings keys, used for parsing, defaults, checks and the output of `check`.

use crate::value::SettingKind;

/// Whether a key must be present, and its default value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Presence {
    /// The key must be present. The text is an example.
    Required(&'static str),
    /// The key must be present unless an environment variable gives the value. The texts are an
    /// example and the name of the variable.
    RequiredUnlessEnv(&'static str, &'static str),
    /// The key may be absent, and the setting then has no value. The text is an example.
    Optional(&'static str),
    /// The key may be absent, and the setting then has this value.
    Default(&'static str),
}

/// Definition of a settings key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingKey {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) kind: SettingKind,
    pub(crate) presence: Presence,
    /// Description in the example file.
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

const EXAMPLE_HEADER: &str = "\
# Settings of a plantainpost node. `plantainpost check --example` prints this file, and
# `plantainpost check FILE` checks a file and prints the effective values.
#
# Comments must be on lines of their own. File names are relative to the directory in
# which the node is started. Lines that are commented out show defaults or examples.
";

const fn key(
    section: &'static str,
    name: &'static str,
    kind: SettingKind,
    presence: Presence,
    help: &'static str,
) -> SettingKey {
    SettingKey {
        section,
        name,
        kind,
        presence,
        help,
    }
}

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// All keys, in the order in which `check` prints them.
#[rustfmt::skip]
pub(crate) const KEYS: &[SettingKey] = &[
    key("node", "name", SettingKind::Name, Presence::Required("stock-1"),
        "Name of this node, unique in the fleet."),
    key("node", "data_centre", SettingKind::Name, Presence::Required("pos"),
        "Data centre of this host."),
    key("node", "region", SettingKind::Name, Presence::Required("north"),
        "Region of the data centre."),
    key("node", "ip", SettingKind::HostIp, Presence::Required("10.0.0.7"),
        "IP address at which other nodes reach this host."),

    key("node", "interface", SettingKind::Choice(&["product", "platform"]), Presence::Default("product"),
        "Interface to callers, targets and operators: the product's own or that of the users' platform."),
    key("node", "service", SettingKind::Name, Presence::Optional("stock"),
        "Service of the target on this host, sent to targets as the origin of requests that enter here."),

    key("listen", "callers", SettingKind::Address, Presence::Default("0.0.0.0:8080"),
        "Listener for requests of callers, HTTP/1.1."),
    key("listen", "admin", SettingKind::Address, Presence::Default("127.0.0.1:8081"),
        "Listener for operators and the target on this host. Any address but loopback needs a token."),
    key("listen", "peer_tcp", SettingKind::Address, Presence::Default("0.0.0.0:8082"),
        "Listener for requests of other nodes."),
    key("listen", "peer_udp", SettingKind::Address, Presence::Default("0.0.0.0:8082"),
        "Socket for membership messages and probes of other nodes."),
    key("listen", "metrics", SettingKind::Address, Presence::Optional("10.0.0.7:8083"),
        "Listener for metrics as text, at any path. It needs no token and is read-only."),
    key("listen", "control", SettingKind::Addresses, Presence::Default(""),
        "Listeners for announcements of the target and readiness checks in the format of the platform."),

    key("peers", "contacts", SettingKind::Addresses, Presence::Default(""),
        "UDP addresses of the nodes to join the fleet through. Only the first node of a fleet has none."),

    key("log", "address", SettingKind::HostPort, Presence::Required("10.0.0.9:9000"),
        "Address of the log service, HTTP/1.1."),
    key("log", "poll", SettingKind::Duration(100, 60_000), Presence::Default("1 s"),
        "Minimum mean interval between two reads of the log by this node. It is longer in large fleets."),

    key("security", "key_file", SettingKind::Path, Presence::RequiredUnlessEnv("fleet.key", "PLANTAINPOST_KEY"),
        "File with the fleet key, at least 32 bytes."),
    key("security", "second_key_file", SettingKind::Path, Presence::Optional("next-fleet.key"),
        "File with a second fleet key that is accepted too, for key rotation."),
    key("security", "token_file", SettingKind::Path, Presence::Optional("admin.token"),
        "File with the bearer token of the admin listener; otherwise PLANTAINPOST_TOKEN is used if set."),

    key("limits", "header", SettingKind::Size(KIB, 128 * KIB), Presence::Default("16 KiB"),
        "Maximum size of the header section of a request or response."),
    key("limits", "body", SettingKind::Size(KIB, 1024 * MIB), Presence::Default("32 MiB"),
        "Maximum size of the body of a request or response."),
    key("limits", "connections", SettingKind::Count(1, 65_536), Presence::Default("1024"),
        "Maximum number of concurrent connections of callers."),
    key("limits", "queue", SettingKind::Count(0, 2), Presence::Default("2"),
        "Maximum number of requests queued for the target, as a multiple of its slots."),
    key("limits", "default_timeout", SettingKind::Duration(1, 120_000), Presence::Default("10 s"),
        "Timeout of a request whose caller gives none."),
    key("limits", "max_timeout", SettingKind::Duration(1, 120_000), Presence::Default("120 s"),
        "Maximum timeout that a caller may give."),
    key("limits", "connect_timeout", SettingKind::Duration(1, 10_000), Presence::Default("250 ms"),
        "Timeout for connecting to another node or the target."),
    key("limits", "head_timeout", SettingKind::Duration(10, 60_000), Presence::Default("5 s"),
        "Time within which a caller must send the header section of a request."),
    key("limits", "idle_timeout", SettingKind::Duration(1_000, 60_000), Presence::Default("30 s"),
        "Time after which an unused connection is closed."),
    key("limits", "stop_timeout", SettingKind::Duration(1_000, 600_000), Presence::Default("130 s"),
        "Time for requests in flight to finish at a graceful stop. Not less than max_timeout."),

    key("platform", "announce_every", SettingKind::Duration(100, 60_000), Presence::Default("1500 ms"),
        "Interval between two announcements of the target."),
    key("platform", "target_drain", SettingKind::Duration(100, 60_000), Presence::Default("2 s"),
        "Time after a target has said that it leaves within which requests may still reach it."),
    key("platform", "probes", SettingKind::RoundedCount(0, 1_000), Presence::Default("60"),
        "Maximum number of health checks per second that are sent to the target to measure the speed of its host."),
    key("platform", "grace", SettingKind::Duration(1_000, 600_000), Presence::Optional("6 s"),
        "Time after which the platform kills a stopping node. If it is set, it replaces stop_timeout."),

    key("retry", "earned", SettingKind::Count(0, 100), Presence::Default("10"),
        "Extra requests (retries and hedges) that a node may send per 100 successful requests of a service."),
    key("retry", "fleet_slack", SettingKind::RoundedCount(0, 1_000_000), Presence::Optional("50"),
        "Extra requests that all nodes together may send in addition to those allowed by earned."),

    key("balance", "policy", SettingKind::Choice(POLICIES), Presence::Default("predicted-completion"),
        "Policy for choosing a target. All but the default are baselines for comparison."),
    key("balance", "transfer_cost", SettingKind::Duration(0, 1_000), Presence::Default("0 ms"),
        "Latency penalty for each KiB that is sent to another data centre."),

    key("output", "format", SettingKind::Choice(&["text", "json"]), Presence::Default("text"),
        "Format of log lines on standard output."),
    key("output", "statsd", SettingKind::Address, Presence::Optional("127.0.0.1:8125"),
        "Address of a StatsD server that receives all metrics over UDP."),
    key("output", "level", SettingKind::Choice(&["critical", "error", "warning", "info", "debug", "trace"]),
        Presence::Default("info"),
        "Minimum severity of log lines."),
];

/// Returns a commented settings file with all keys.
pub(crate) fn example_file() -> String {
    let mut text = EXAMPLE_HEADER.to_owned();
    let mut section = "";
    for key in KEYS {
        text.push('\n');
        if key.section != section {
            section = key.section;
            text.push_str(&format!("[{section}]\n"));
        }
        let (prefix, value, presence) = match key.presence {
            Presence::Required(value) => ("", value, "Required.".to_owned()),
            Presence::RequiredUnlessEnv(value, variable) => {
                ("", value, format!("Required unless {variable} is set."))
            }
            Presence::Optional(value) => ("# ", value, "Optional.".to_owned()),
            Presence::Default("") => ("# ", "", "Default: none.".to_owned()),
            Presence::Default(value) => ("# ", value, format!("Default: {value}.")),
        };
        let name = key.name;
        let (help, allowed) = (key.help, key.kind.describe_allowed());
        let line = format!("{prefix}{name} = {value}");
        let line = line.trim_end();
        text.push_str(&format!(
            "# {help}\n# Allowed: {allowed}. {presence}\n{line}\n\n"
        ));
    }
    text
}

/// Returns the definition of a key, or `None` if the key is unknown.
pub(crate) fn find(section: &str, name: &str) -> Option<&'static SettingKey> {
    KEYS.iter()
        .find(|key| key.section == section && key.name == name)
}

/// Returns the known name with the smallest edit distance to `name`.
pub(crate) fn nearest_name<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> &'a str {
    known
        .min_by_key(|known| edit_distance(name, known))
        .unwrap_or("")
}

/// Returns the Levenshtein distance between two names.
fn edit_distance(a: &str, b: &str) -> usize {
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
