//! The software versions to which streams are bound.

use medlarlug_core::gateway::{software_version::SoftwareVersion, stream_version::StreamVersion};

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

#[test]
fn first_event_binds_a_stream_and_later_ones_do_not() {
    let mut stream = StreamVersion::Free;

    stream.bind(Some(&version("v1")));
    stream.bind(Some(&version("v1.1")));

    assert_eq!(stream, StreamVersion::Bound(version("v1")));
}

#[test]
fn stream_of_an_upstream_without_a_version_goes_on_nowhere() {
    let mut stream = StreamVersion::Free;

    stream.bind(None);

    assert!(!stream.allows(None));
    assert!(!stream.allows(Some(&version("v1"))));
}
