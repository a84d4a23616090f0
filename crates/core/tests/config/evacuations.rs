//! Evacuations of data centres in the state of a reader.

use googletest::prelude::*;
use plantainpost_core::{
    config::{
        Adoption, ConfigReplica, EvacuationChange, Evacuations, MAX_EVACUATION_RECORDS, Position,
        PublishedRecords,
    },
    ids::DataCentre,
    routing::{CallerLimits, RouteTable},
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

fn change(data_centre: &str, offset: u64, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        data_centre: DataCentre::from(data_centre),
        position: Position::from(offset),
        is_evacuated,
    }
}

fn table(version: u64) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    RouteTable::new(version, Vec::new(), Vec::new(), limits)
}

/// Returns a replica that has read a snapshot with routes of version 1 up to offset `read_to`.
fn replica(read_to: u64, evacuations: Vec<EvacuationChange>) -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    replica.apply_published(PublishedRecords {
        from: None,
        read_to: Position::from(read_to),
        table: Some(table(1)),
        evacuations,
    });
    replica
}

fn read(replica: &mut ConfigReplica, from: u64, evacuations: Vec<EvacuationChange>) -> bool {
    let read_to = evacuations
        .last()
        .map_or(from, |last| last.position.offset + 1);
    let effect = replica.apply_published(PublishedRecords {
        from: Some(Position::from(from)),
        read_to: Position::from(read_to),
        table: None,
        evacuations,
    });
    effect.is_change()
}

/// Guards against a register that depends on the order in which its records arrive, directly or through
/// the registers of peers, and against an older record that reverts a newer one.
#[gtest]
fn the_highest_offset_is_in_force() {
    let records = [
        change("pos", 3, true),
        change("arima", 4, true),
        change("pos", 6, false),
        change("arima", 8, false),
        change("arima", 9, true),
        change("sando", 11, true),
    ];
    let mut expected = Evacuations::default();
    for record in &records {
        expect_true!(expected.apply(record));
        expect_false!(expected.apply(record), "the same record again");
    }
    let names: Vec<&str> = expected
        .evacuated()
        .map(|(name, _)| name.as_str())
        .collect();
    expect_that!(names, elements_are![eq(&"arima"), eq(&"sando")]);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..50 {
        let mut shuffled = records.to_vec();
        shuffled.shuffle(&mut rng);
        let (mut first, mut second) = (Evacuations::default(), Evacuations::default());
        for record in &shuffled[..3] {
            first.apply(record);
        }
        for record in &shuffled[3..] {
            second.apply(record);
        }
        first.merge(&second);
        expect_eq!(first, expected);
    }
}

/// Guards against an evacuation that stays in force, or comes back from an older state of a peer, after
/// its record has expired from the store, and against a snapshot that ends a later evacuation.
#[gtest]
fn snapshot_without_a_known_evacuation_ends_it() {
    let mut register = Evacuations::default();
    register.apply(&change("pos", 3, true));
    register.apply(&change("arima", 9, true));
    register.apply(&change("sando", 5, true));
    let older = register.clone();
    expect_true!(register.apply_snapshot(Position::from(8), &[change("sando", 5, true)]));
    expect_false!(register.is_evacuated("pos"));
    expect_true!(
        register.is_evacuated("arima"),
        "evacuated after the snapshot"
    );
    expect_true!(register.is_evacuated("sando"), "in the snapshot");
    expect_false!(register.merge(&older));
    expect_false!(register.is_evacuated("pos"));
    // The record at offset 7 was the last one of the snapshot.
    expect_true!(register.apply(&change("pos", 8, true)));
}

/// Guards against a register of unlimited size, and against the loss of an evacuation in force to make
/// room for a removed one.
#[gtest]
fn removed_evacuations_make_room_for_others() {
    let mut register = Evacuations::default();
    for i in 0..MAX_EVACUATION_RECORDS {
        register.apply(&change(&format!("dc-{i}"), i as u64, i != 7));
    }
    expect_true!(register.apply(&change("pos", 100, true)));
    expect_false!(register.apply(&change("arima", 101, true)), "no room");
    expect_that!(register.iter().count(), eq(MAX_EVACUATION_RECORDS));
    expect_that!(register.evacuated().count(), eq(MAX_EVACUATION_RECORDS));
}

/// Guards against an evacuation without new routes that peers do not learn of, because the offset that
/// they compare does not rise.
#[gtest]
fn evacuation_alone_passes_to_peers() {
    let (mut reader, mut peer) = (replica(5, Vec::new()), replica(5, Vec::new()));
    expect_true!(read(&mut reader, 5, vec![change("pos", 6, true)]));
    expect_that!(reader.read_to(), eq(7));
    expect_that!(peer.adopt_state(reader.snapshot()), eq(Adoption::Adopted));
    expect_true!(peer.evacuations().is_evacuated("pos"));
    expect_true!(read(&mut reader, 7, vec![change("pos", 7, false)]));
    peer.adopt_state(reader.snapshot());
    expect_false!(peer.evacuations().is_evacuated("pos"));
}

/// Guards against a state of a peer that reverts a record which this node has read itself.
#[gtest]
fn adopted_state_keeps_later_records() {
    let mut peer = replica(9, vec![change("pos", 3, true)]);
    let mut node = ConfigReplica::new();
    // Without routes the node takes the state of any peer that has some.
    expect_true!(read(&mut node, 9, vec![change("pos", 9, false)]));
    expect_that!(node.adopt_state(peer.snapshot()), eq(Adoption::Adopted));
    expect_false!(node.evacuations().is_evacuated("pos"));
    read(&mut peer, 9, vec![change("pos", 9, false)]);
    expect_eq!(node.evacuations(), peer.evacuations());
}

/// Guards against a node that refuses the routes of its peers, because it has read further than they
/// have, but found only a configuration that is not valid.
#[gtest]
fn reads_without_valid_routes_do_not_hide_those_of_peers() {
    let peer = replica(9, Vec::new());
    let mut restarted = ConfigReplica::new();
    let effect = restarted.apply_published(PublishedRecords {
        from: None,
        read_to: Position::from(12),
        table: None,
        evacuations: vec![change("pos", 4, true)],
    });
    expect_true!(effect.evacuations_changed);
    expect_true!(read(&mut restarted, 12, vec![change("sando", 13, true)]));
    expect_that!(
        restarted.adopt_state(peer.snapshot()),
        eq(Adoption::Adopted)
    );
    expect_that!(restarted.routes().map(|table| table.version()), some(eq(1)));
    let names: Vec<&str> = restarted
        .evacuations()
        .evacuated()
        .map(|(name, _)| name.as_str())
        .collect();
    expect_that!(names, elements_are![eq(&"pos"), eq(&"sando")]);
}

/// Guards against records of other keys that are read again and again, or announced as a change.
#[gtest]
fn other_records_advance_the_reader_without_a_change() {
    let mut reader = replica(5, Vec::new());
    let effect = reader.apply_published(PublishedRecords {
        from: Some(Position::from(5)),
        read_to: Position::from(8),
        table: None,
        evacuations: Vec::new(),
    });
    expect_false!(effect.is_change());
    expect_that!(reader.read_to(), eq(8));
}

/// Guards against a state of a peer with a name that is out of bounds.
#[gtest]
fn invalid_names_of_data_centres_are_rejected() {
    let peer = replica(9, vec![change("pos", 3, true)]);
    let json = serde_json::to_string(&peer.snapshot()).expect("JSON");
    let invalid = json.replace("\"pos\"", "\"\"");
    expect_ne!(invalid, json);
    // Also from a peer that has read no further.
    for mut node in [ConfigReplica::new(), replica(9, Vec::new())] {
        let adoption = node.adopt_state(serde_json::from_str(&invalid).expect("a state"));
        expect_that!(adoption, eq(Adoption::Invalid));
        expect_that!(node.evacuations().iter().count(), eq(0));
    }
    expect_false!(change("", 1, true).is_valid());
}
