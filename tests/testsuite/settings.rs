//! Settings files: which are accepted, and what the error of each refused one names.

use std::{fs, path::PathBuf};

use assert_matches::assert_matches;
use medlarlug::{
    settings::{ClusterSettings, EntrySettings, Fault, KeeperSettings, Resources, StandinSettings},
    telemetry::logs::LogLevel,
};
use medlarlug_core::units::ByteSize;
use proptest::prelude::*;
use tempfile::TempDir;
use test_support::id;

const CLUSTER: &str = "\
zones:
  - { id: riga-a, region: riga }
instances:
  - { id: entry-1, kind: entry, zone: riga-a, callers: 127.0.0.1:7001, internal: 127.0.0.1:7101, peers: 127.0.0.1:7201, operators: 127.0.0.1:7301 }
  - id: keeper-1
    kind: keeper
    zone: riga-a
    durable: true
    internal: 127.0.0.1:7111
    peers: 127.0.0.1:7211
    operators: 127.0.0.1:7311
configuration: [keeper-1]
homes:
  - { region: riga, voters: [keeper-1] }
";

const ENTRY: &str = "\
instance: entry-1
cluster: cluster.yaml
key: [deployment.key]
operators:
  - { id: anna, key: 00112233445566778899aabbccddeeff }
limits: { body_bytes: 65536 }
drain_seconds: 5
log: debug
";

const KEEPER: &str = "\
instance: keeper-1
cluster: cluster.yaml
key: [deployment.key]
data: data
";

const STANDIN: &str = "\
key: [deployment.key]
upstreams:
  - id: engine
    zone: riga-a
    address: 127.0.0.1:8001
    control: 127.0.0.1:8101
    announce_to: [127.0.0.1:7101]
    kind: { engine: { models: [{ model: medlar, version: v1 }] } }
    slots: 8
    speed: 200
";

struct Folder(TempDir);

impl Folder {
    fn new() -> Folder {
        let folder = Folder(TempDir::new().unwrap());
        folder.write("cluster.yaml", CLUSTER);
        folder.write("deployment.key", "sixteen characters or more");
        folder
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.path().join(name);
        fs::write(&file, text).unwrap();
        file
    }
}

/// The error for a cluster file in which `old` is replaced by `new`, without the folder's name.
fn cluster_error(old: &str, new: &str) -> String {
    let folder = Folder::new();
    let file = folder.write("cluster.yaml", &CLUSTER.replacen(old, new, 1));
    let error = ClusterSettings::load(&file).unwrap_err();
    error.to_string().replace(file.to_str().unwrap(), "cluster.yaml")
}

/// The error for a stand-in's file in which `old` is replaced by `new`, without the folder's name.
fn standin_error(old: &str, new: &str) -> String {
    let folder = Folder::new();
    let file = folder.write("standin.yaml", &STANDIN.replacen(old, new, 1));
    let error = StandinSettings::load(&file).unwrap_err();
    error.to_string().replace(file.to_str().unwrap(), "standin.yaml")
}

#[test]
fn entry_settings_are_read_with_the_files_that_they_point_to() {
    let folder = Folder::new();
    let file = folder.write("entry.yaml", ENTRY);

    let settings = EntrySettings::load(&file).unwrap();

    assert_eq!(settings.peer().callers, Some("127.0.0.1:7001".parse().unwrap()));
    assert_eq!(settings.cluster.region_of(&id("riga-a")), Some(&id("riga")));
    assert_eq!(settings.limits.body.0, 65_536);
    assert_eq!(settings.drain_timeout.as_secs(), 5);
    assert_eq!(settings.log, LogLevel::Debug);
    let key = "00112233445566778899aabbccddeeff".parse().unwrap();
    assert_eq!(settings.operator_of(key), Some(&id("anna")));
    assert!(!format!("{settings:?}").contains("sixteen"));
}

#[test]
fn unknown_field_is_named_with_the_valid_ones() {
    let refusal = cluster_error("durable: true", "durabel: true");

    assert_eq!(
        refusal,
        "cluster.yaml:8: durabel: unknown field `durabel`, expected one of id, kind, zone, \
         internal, peers, operators, callers, durable at line 8, column 5"
    );
}

#[test]
fn duplicate_ids_and_addresses_are_named() {
    let duplicate_id = cluster_error("id: keeper-1", "id: entry-1");
    let duplicate_address = cluster_error("127.0.0.1:7311", "127.0.0.1:7001");

    assert_eq!(
        duplicate_id,
        "cluster.yaml:5: instances.id: `entry-1` is used more than once; give each its own"
    );
    assert_eq!(
        duplicate_address,
        "cluster.yaml:11: instances.operators: `127.0.0.1:7001` is used more than once; give \
         each its own"
    );
}

#[test]
fn unusable_address_is_named() {
    for address in ["127.0.0.1:0", "0.0.0.0:7311", "riga:7311", "127.0.0.1:70000"] {
        let refusal = cluster_error("127.0.0.1:7311", address);

        assert_eq!(
            refusal,
            format!(
                "cluster.yaml:11: instances.operators: `{address}` is not valid; give IP:PORT \
                 with an address that others can reach and a port from 1 to 65535"
            )
        );
    }
}

#[test]
fn unknown_zone_region_and_voter_are_named_with_the_known_ones() {
    let zone = cluster_error("zone: riga-a\n    durable", "zone: riga-b\n    durable");
    let region = cluster_error("region: riga, voters", "region: rigga, voters");
    let voter = cluster_error("configuration: [keeper-1]", "configuration: [entry-1]");

    assert_eq!(zone, "cluster.yaml:7: instances.zone: `riga-b` is unknown; valid are riga-a");
    assert_eq!(region, "cluster.yaml:14: homes.region: `rigga` is unknown; valid are riga");
    assert_eq!(voter, "cluster.yaml:12: configuration: `entry-1` is unknown; valid are keeper-1");
}

#[test]
fn rate_of_zero_and_slots_of_zero_are_named() {
    let rate = standin_error("speed: 200", "speed: 0");
    let slots = standin_error("slots: 8", "slots: 0");

    assert_eq!(
        rate,
        "standin.yaml:10: upstreams.speed: `0` is not valid; give a number above zero, in events \
         a second"
    );
    assert_eq!(
        slots,
        "standin.yaml:9: upstreams.slots: `0` is not valid; give a whole number from 1 to 4096"
    );
}

#[test]
fn process_that_the_cluster_file_does_not_list_is_refused() {
    let folder = Folder::new();
    let file = folder.write("entry.yaml", &ENTRY.replace("entry-1", "keeper-1"));

    let error = EntrySettings::load(&file).unwrap_err();

    assert_eq!(error.line, 1);
    assert_matches!(error.fault, Fault::Unknown { known, .. } if known == "entry-1");
}

#[test]
fn data_folder_is_required_of_durable_keepers() {
    let folder = Folder::new();
    let with_data = folder.write("keeper.yaml", KEEPER);
    let without = folder.write("volatile.yaml", &KEEPER.replace("data: data\n", ""));

    assert!(KeeperSettings::load(&with_data).is_ok());
    assert_matches!(
        KeeperSettings::load(&without).unwrap_err().fault,
        Fault::Invalid { field, .. } if field == "data"
    );
}

#[test]
fn limits_are_accepted_for_entry_instances_only_and_within_their_range() {
    let folder = Folder::new();
    let keeper = folder.write("keeper.yaml", &format!("{KEEPER}limits: {{ requests: 5 }}\n"));
    let entry = folder.write("entry.yaml", &ENTRY.replace("body_bytes: 65536", "body_bytes: 0"));

    assert_matches!(
        KeeperSettings::load(&keeper).unwrap_err().fault,
        Fault::Invalid { field, .. } if field == "limits"
    );
    assert_matches!(
        EntrySettings::load(&entry).unwrap_err().fault,
        Fault::Invalid { field, .. } if field == "body_bytes"
    );
}

#[test]
fn resources_are_read_for_both_kinds_and_checked() {
    let folder = Folder::new();
    let resources = "resources: { memory_mb: 112, descriptors: 192 }\n";
    let entry = folder.write("entry.yaml", &format!("{ENTRY}{resources}"));
    let few = folder.write("few.yaml", &format!("{KEEPER}resources: {{ descriptors: 3 }}\n"));

    let settings = EntrySettings::load(&entry).unwrap().resources;

    let expected = Resources { memory: Some(ByteSize(112 << 20)), descriptors: Some(192) };
    assert_eq!(settings, expected);
    assert_matches!(
        KeeperSettings::load(&few).unwrap_err().fault,
        Fault::Invalid { field, .. } if field == "resources.descriptors"
    );
}

#[test]
fn short_key_is_refused_without_being_shown() {
    let folder = Folder::new();
    let file = folder.write("entry.yaml", ENTRY);
    folder.write("deployment.key", "hush");

    let error = EntrySettings::load(&file).unwrap_err();

    assert_matches!(&error.fault, Fault::Invalid { field, .. } if field == "key");
    assert!(!error.to_string().contains("hush"));
}

#[test]
fn count_expands_to_upstreams_with_consecutive_ports() {
    let folder = Folder::new();
    let file = folder.write("standin.yaml", &format!("{STANDIN}    count: 100\n"));

    let settings = StandinSettings::load(&file).unwrap();

    assert_eq!(settings.upstreams.len(), 100);
    let last = settings.upstreams.iter().find(|it| it.id == id("engine-99")).unwrap();
    assert_eq!(last.address.port(), 8_100);
}

#[test]
fn upstreams_of_one_item_must_not_share_a_port() {
    let refusal = standin_error("slots: 8", "slots: 8\n    count: 101");

    assert_eq!(
        refusal,
        "standin.yaml:5: upstreams.address: `127.0.0.1:8101` is used more than once; give each \
         its own"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn mutated_cluster_files_never_panic(position in 0..CLUSTER.len(), bytes in "\\PC{0,6}") {
        let folder = Folder::new();
        let mut text = CLUSTER.to_owned();
        text.insert_str(position, &bytes);
        let file = folder.write("cluster.yaml", &text);

        let _ = ClusterSettings::load(&file);
    }
}

#[test]
fn may_form_is_accepted_for_keepers_only() {
    let folder = Folder::new();
    let keeper = folder.write("keeper.yaml", KEEPER);
    let without_forming =
        folder.write("without-forming.yaml", &format!("{KEEPER}may_form: false\n"));
    let entry = folder.write("entry.yaml", &format!("{ENTRY}may_form: false\n"));

    let may_form = [keeper, without_forming].map(|it| KeeperSettings::load(&it).unwrap().may_form);
    let refusal = EntrySettings::load(&entry).unwrap_err().to_string();

    assert_eq!(may_form, [true, false]);
    assert!(refusal.contains("may_form"), "{refusal}");
}
