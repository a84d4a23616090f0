//! Starts fleets on the platform in several data centres and regions, and evacuates data centres.

use std::{net::SocketAddr, thread, time::Duration};

use plantainpost_standin::process::wait_until;
use serde_json::Value;

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer, body, exchange},
};

/// Service time of the targets, which makes several requests at once spread over them.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Data centre and region of each node.
pub(crate) type Places = [(&'static str, &'static str)];

/// Two nodes in each of two data centres.
pub(crate) const TWO_DATA_CENTRES: &Places = &[
    ("pos", "tt"),
    ("arima", "tt"),
    ("pos", "tt"),
    ("arima", "tt"),
];

/// A route to the service `shelf`: its path prefix, kind and allowed regions as a JSON list.
pub(crate) type RouteRow = (&'static str, &'static str, &'static str);

pub(crate) const ROUTES: &[RouteRow] = &[("/safe/", "safe", "[]"), ("/once/", "unsafe", "[]")];

/// A fleet whose nodes all have a target.
pub(crate) struct EvacuationFleet {
    pub(crate) platform: PlatformFleet,
    pub(crate) targets: Vec<ScriptedTarget>,
}

pub(crate) fn publish_routes(platform: &PlatformFleet, version: u64, routes: &[RouteRow]) {
    let routes = routes.iter().map(|(prefix, kind, regions)| {
        format!(
            r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"{kind}",
            "timeoutMs":8000,"latencyTargetMs":8000,"priority":1,"attempts":2,"service":"shelf",
            "allowedRegions":{regions}}}"#
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    let text = format!(
        r#"{{"version":{version},"routes":{{{routes}}},"services":{{"shelf":
        {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
        "maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
    );
    let store = &platform.store;
    store.append_keyed("keyed.op", "config", text.as_bytes());
}

pub(crate) fn start_nodes(
    places: &Places,
    address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
) -> PlatformFleet {
    PlatformFleet::start_with_settings(places.len(), address_of, |i, text| {
        set_place(text, places[i]);
    })
}

/// Sets the data centre and the region in the settings of a node.
pub(crate) fn set_place(text: &mut String, (data_centre, region): (&str, &str)) {
    let place = format!("data_centre = {data_centre}\nregion = {region}\n");
    *text = text.replace("data_centre = pos\nregion = tt\n", &place);
}

impl EvacuationFleet {
    /// Starts nodes, each with a target that answers at once, and waits until each has routes and knows
    /// all targets.
    pub(crate) fn start(places: &Places, routes: &[RouteRow]) -> Self {
        Self::start_with_store_addresses(places, routes, |_, store| store)
    }

    pub(crate) fn start_with_store_addresses(
        places: &Places,
        routes: &[RouteRow],
        address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
    ) -> Self {
        let platform = start_nodes(places, address_of);
        publish_routes(&platform, 1, routes);
        let script =
            |head: &str| ScriptedReply::After(SERVICE_TIME, answer(head, "200 OK", "stock"));
        let targets = (0..places.len()).map(|_| ScriptedTarget::start(script));
        let fleet = EvacuationFleet {
            targets: targets.collect(),
            platform,
        };
        for i in 0..places.len() {
            fleet.announce(i, 1);
        }
        for i in 0..places.len() {
            fleet.wait_until_ready(i);
        }
        fleet
    }

    /// Waits until a node has routes and knows all targets.
    pub(crate) fn wait_until_ready(&self, i: usize) {
        self.platform.wait_readyz(i, "200");
        wait_until("the node knows all targets", WAIT_TIMEOUT, || {
            (0..self.targets.len()).all(|j| !usage(&self.platform, i, j).is_null())
        })
        .expect("all targets are known");
    }

    pub(crate) fn announce(&self, i: usize, seq: u64) {
        let (target, id) = (&self.targets[i], format!("i-{i}"));
        self.platform.announce(i, target, &id, seq, "ready");
    }

    pub(crate) fn evacuate(&self, data_centre: &str) {
        set_evacuated(&self.platform, data_centre, true);
    }

    pub(crate) fn end_evacuation(&self, data_centre: &str) {
        set_evacuated(&self.platform, data_centre, false);
    }

    /// Returns the number of requests that each target has received.
    pub(crate) fn received(&self) -> Vec<usize> {
        let targets = self.targets.iter();
        targets
            .map(|target| target.received_heads().len())
            .collect()
    }

    /// Sends requests to all nodes at once until each target in `wanted` has received one.
    pub(crate) fn wait_for_requests_at(&self, wanted: &[usize]) {
        let before = self.received();
        wait_until("requests at targets", WAIT_TIMEOUT, || {
            thread::scope(|scope| {
                for number in 0..32 {
                    let i = number % self.platform.hosts.len();
                    scope.spawn(move || self.platform.get(i, "/safe/a", "w"));
                }
            });
            let now = self.received();
            wanted.iter().all(|i| now[*i] > before[*i])
        })
        .expect("the targets get requests");
    }
}

/// Writes the record of an evacuation to the store, or its tombstone.
pub(crate) fn set_evacuated(platform: &PlatformFleet, data_centre: &str, is_evacuated: bool) {
    let key = format!("evacuate/{data_centre}");
    let value: &[u8] = if is_evacuated { b"{}" } else { b"" };
    platform.store.append_keyed("keyed.op", &key, value);
}

/// Returns the answer of the admin listener of a node.
pub(crate) fn admin(platform: &PlatformFleet, i: usize, path: &str) -> Value {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let text = exchange(platform.hosts[i].admin, request.as_bytes());
    serde_json::from_str(body(&text)).unwrap_or(Value::Null)
}

/// Returns how node `i` uses the target of node `j`; null until it knows it.
pub(crate) fn usage(platform: &PlatformFleet, i: usize, j: usize) -> Value {
    let explanation = admin(platform, i, &format!("/v1/explain?target=host-{j}"));
    explanation["service"]
        .as_str()
        .map_or(Value::Null, |_| explanation["usage"].clone())
}

/// Returns what node `i` says about a data centre.
pub(crate) fn data_centre(platform: &PlatformFleet, i: usize, name: &str) -> Value {
    let status = admin(platform, i, "/v1/status");
    let all = status["data_centres"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let found = all.into_iter().find(|entry| entry["name"] == name);
    found.unwrap_or(Value::Null)
}

/// Waits until the evacuation of a data centre is in force, or ended, at a node.
pub(crate) fn wait_evacuated(platform: &PlatformFleet, i: usize, name: &str, is_evacuated: bool) {
    wait_until("state of the evacuation", WAIT_TIMEOUT, || {
        data_centre(platform, i, name)["evacuated"] == is_evacuated
    })
    .expect("the evacuation has this state");
}

pub(crate) fn metric(platform: &PlatformFleet, i: usize, name: &str) -> u64 {
    let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    let text = exchange(platform.hosts[i].metrics, request);
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_default()
}
