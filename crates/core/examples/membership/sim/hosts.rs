//! Addresses and records of the hosts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use plantainpost_core::{
    ids::{DataCentre, Incarnation, NodeName, Region, ServiceName},
    member::{MemberRecord, MemberState, TargetInfo},
};

/// Returns the address of the `i`th host.
pub(crate) fn addr(i: usize) -> SocketAddr {
    let [.., a, b, c] = (i as u32 + 1).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, a, b, c)), 7_100)
}

/// Names of the data centres, which the hosts belong to in turn.
const DATA_CENTRES: [&str; 4] = ["pos", "arima", "chaguanas", "sando"];

/// Returns whether two hosts are in different data centres.
pub(crate) fn is_remote(a: usize, b: usize) -> bool {
    a % DATA_CENTRES.len() != b % DATA_CENTRES.len()
}

/// Returns a record of a node at the `i`th host, as long as in a real fleet.
pub(crate) fn record(name: &str, i: usize, incarnation: u64) -> MemberRecord {
    let addr = addr(i);
    MemberRecord {
        name: NodeName::from(name),
        incarnation: Incarnation(incarnation),
        revision: 0,
        state: MemberState::Alive,
        ip: addr.ip(),
        tcp_port: 7_101,
        udp_port: addr.port(),
        data_centre: DataCentre::from(DATA_CENTRES[i % DATA_CENTRES.len()]),
        region: Region::from(["trinidad", "ashanti"][i % 2]),
        target: Some(TargetInfo {
            service: ServiceName::from(format!("service-{}.example", i % 49).as_str()),
            slots: 12,
            draining: false,
            cold: false,
        }),
        store_reads_fail: false,
        config_version: 100_000,
    }
}
