//! Counters and histograms of the node.
//!
//! `cadence` formats the metrics. The sink adds them up in memory for the admin
//! listener, and passes them on to a StatsD server when one is set.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex},
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricSink, StatsdClient};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Prefix of all metric names.
const PREFIX: &str = "plantainpost";

/// Longest recorded latency in microseconds: the longest deadline.
const MAX_LATENCY_US: u64 = 120_000_000;

#[derive(Default)]
struct Totals {
    values: BTreeMap<String, i64>,
}

impl Totals {
    /// Adds one metric in StatsD form, `name:value|type`.
    fn add(&mut self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else {
            return;
        };
        let Some((value, kind)) = rest.split_once('|') else {
            return;
        };
        let Ok(value) = value.parse::<i64>() else {
            return;
        };
        let name = name.trim_start_matches(PREFIX).trim_start_matches('.');
        match self.values.get_mut(name) {
            Some(total) if kind == "c" => *total += value,
            Some(total) => *total = value,
            None => {
                self.values.insert(name.to_owned(), value);
            }
        }
    }
}

struct TotalsSink {
    totals: Arc<Mutex<Totals>>,
    forward: Option<BufferedUdpMetricSink>,
}

impl MetricSink for TotalsSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Ok(mut totals) = self.totals.lock() {
            totals.add(metric);
        }
        match &self.forward {
            Some(sink) => sink.emit(metric),
            None => Ok(metric.len()),
        }
    }

    fn flush(&self) -> io::Result<()> {
        self.forward.as_ref().map_or(Ok(()), MetricSink::flush)
    }
}

/// Quantiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Quantiles {
    count: u64,
    p50_us: u64,
    p90_us: u64,
    p99_us: u64,
    p999_us: u64,
    max_us: u64,
}

impl Quantiles {
    fn of(h: &Histogram<u64>) -> Self {
        Quantiles {
            count: h.len(),
            p50_us: h.value_at_quantile(0.50),
            p90_us: h.value_at_quantile(0.90),
            p99_us: h.value_at_quantile(0.99),
            p999_us: h.value_at_quantile(0.999),
            max_us: h.max(),
        }
    }
}

impl Quantiles {
    /// Returns the values with labels that tell them apart.
    pub(crate) fn labelled(&self) -> [(&'static str, u64); 6] {
        [
            ("stat=\"count\"", self.count),
            ("quantile=\"0.5\"", self.p50_us),
            ("quantile=\"0.9\"", self.p90_us),
            ("quantile=\"0.99\"", self.p99_us),
            ("quantile=\"0.999\"", self.p999_us),
            ("quantile=\"1\"", self.max_us),
        ]
    }
}

/// Metrics of the node.
pub(crate) struct Metrics {
    client: StatsdClient,
    totals: Arc<Mutex<Totals>>,
    histograms: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Metrics {
    /// Makes the metrics, which are sent to `statsd` as well when it is set.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be opened.
    pub(crate) fn new(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::new(Mutex::new(Totals::default()));
        let forward = statsd.map(Self::forward_to).transpose()?;
        let sink = TotalsSink {
            totals: Arc::clone(&totals),
            forward,
        };
        Ok(Metrics {
            client: StatsdClient::from_sink(PREFIX, sink),
            totals,
            histograms: Mutex::default(),
        })
    }

    fn forward_to(addr: SocketAddr) -> io::Result<BufferedUdpMetricSink> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)
    }

    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub(crate) fn add(&self, name: &str, value: i64) {
        // A metric that can't be sent must not disturb a request.
        let _ = self.client.count(name, value);
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a latency in microseconds.
    pub(crate) fn latency(&self, name: &'static str, micros: u64) {
        let Ok(mut histograms) = self.histograms.lock() else {
            return;
        };
        let h = histograms.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are valid")
        });
        h.saturating_record(micros.max(1));
    }

    /// Returns a counter or gauge, zero when it was never set.
    pub(crate) fn total(&self, name: &str) -> i64 {
        let totals = self.totals.lock();
        totals.map_or(0, |t| t.values.get(name).copied().unwrap_or(0))
    }

    /// Returns all counters and gauges.
    pub(crate) fn totals(&self) -> BTreeMap<String, i64> {
        let totals = self.totals.lock();
        totals.map(|t| t.values.clone()).unwrap_or_default()
    }

    /// Returns the quantiles of all latencies.
    pub(crate) fn quantiles(&self) -> BTreeMap<&'static str, Quantiles> {
        let Ok(histograms) = self.histograms.lock() else {
            return BTreeMap::new();
        };
        histograms
            .iter()
            .map(|(name, h)| (*name, Quantiles::of(h)))
            .collect()
    }

    /// Sends what the StatsD sink has buffered.
    pub(crate) fn flush(&self) {
        let _ = self.client.flush();
    }
}
