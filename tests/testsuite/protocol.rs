//! Decoding of frames, events and request heads from arbitrary and mutated bytes.

use assert_matches::assert_matches;
use medlarlug::protocol::{
    DeploymentKey, DeploymentKeys, GroupId, GroupRequest, Message,
    deployment_key::FRAME_MAC_BYTES,
    events::{Event, EventSplitter, MAX_EVENT_BYTES},
    frame::{self, Envelope, FrameError},
    inference::InferenceParams,
};
use medlarlug_core::ids::InstanceId;
use proptest::{prelude::*, test_runner::RngSeed};
use test_support::id;

fn keys() -> DeploymentKeys {
    DeploymentKeys::new(vec![DeploymentKey::derive("a long secret text")]).expect("a key")
}

fn own() -> InstanceId {
    id("keeper-1")
}

fn envelope(call: u64) -> Envelope {
    let (group, request) = (GroupId::Home(id("riga")), GroupRequest::History);
    let message = Message::Call { call, group, request };
    Envelope { from: id("entry-1"), to: own(), message }
}

/// The events in `bytes` when they arrive in pieces that end at `cuts`.
fn split(bytes: &[u8], cuts: &[usize]) -> Vec<Event> {
    let mut ends: Vec<usize> = cuts.iter().map(|it| it % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let (mut splitter, mut events, mut start) = (EventSplitter::default(), Vec::new(), 0);
    for end in ends {
        splitter.push(&bytes[start..end]);
        start = end;
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    events
}

/// Bytes in which line ends and the lines of events are frequent.
fn stream_bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b"data: {\"id\":\"a\"}".to_vec()),
        Just(b"data: [DONE]".to_vec()),
        Just(b"event: error".to_vec()),
        prop::collection::vec(any::<u8>(), 0..8),
    ];
    prop::collection::vec(piece, 0..24).prop_map(|it| it.concat())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_decode_as_a_frame(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        prop_assert!(frame::decode(&keys(), &own(), &bytes).is_err());
    }

    #[test]
    fn mutated_frame_is_refused(call: u64, position: prop::sample::Index, flip in 1u8..) {
        let mut bytes = frame::encode(&keys(), &envelope(call)).expect("a frame");
        let position = position.index(bytes.len());

        bytes[position] ^= flip;

        prop_assert!(matches!(frame::decode(&keys(), &own(), &bytes), Err(FrameError::Unauthenticated)));
    }

    #[test]
    fn shortened_or_lengthened_frame_is_refused(call: u64, cut: prop::sample::Index, tail: u8) {
        let bytes = frame::encode(&keys(), &envelope(call)).expect("a frame");

        let shortened = &bytes[..cut.index(bytes.len())];
        let lengthened = [&bytes[..], &[tail]].concat();

        prop_assert!(frame::decode(&keys(), &own(), shortened).is_err());
        prop_assert!(frame::decode(&keys(), &own(), &lengthened).is_err());
    }

    #[test]
    fn arbitrary_authenticated_bytes_are_refused_or_decoded_without_a_panic(
        content in prop::collection::vec(any::<u8>(), 0..512),
    ) {
        let frame = [&keys().sign_frame(&own(), &content)[..], &content].concat();

        let decoded = frame::decode(&keys(), &own(), &frame);

        prop_assert!(matches!(decoded, Ok(_) | Err(FrameError::Codec(_))));
    }

    #[test]
    fn events_do_not_depend_on_how_the_bytes_arrive(
        bytes in stream_bytes(),
        cuts in prop::collection::vec(any::<usize>(), 0..16),
    ) {
        let whole = split(&bytes, &[]);

        let pieces = split(&bytes, &cuts);

        prop_assert_eq!(&whole, &pieces);
        let joined: Vec<u8> = whole.iter().flat_map(|it| it.bytes.to_vec()).collect();
        prop_assert!(bytes.starts_with(&joined));
        for event in &whole {
            let _ = (event.data(), event.is_end(), event.answer_id());
        }
    }

    #[test]
    fn arbitrary_and_mutated_request_heads_are_parsed_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..256),
        position: prop::sample::Index,
        byte: u8,
    ) {
        let mut head = br#"{"model":"medlar:lv","messages":[{"role":"user","content":"x"}],"stream":true}"#
            .to_vec();
        let position = position.index(head.len());

        head[position] = byte;

        let _ = (InferenceParams::parse(&bytes), InferenceParams::parse(&head));
    }
}

#[test]
fn frame_of_any_other_key_is_refused() {
    let other = DeploymentKeys::new(vec![DeploymentKey::derive("another secret text")]);
    let bytes = frame::encode(&other.expect("a key"), &envelope(1)).expect("a frame");

    let decoded = frame::decode(&keys(), &own(), &bytes);

    assert_matches!(decoded, Err(FrameError::Unauthenticated));
}

#[test]
fn frame_that_is_reflected_or_redirected_is_refused() {
    let bytes = frame::encode(&keys(), &envelope(1)).expect("a frame");

    for other in ["entry-1", "keeper-2", "keeper-11", "k"] {
        let decoded = frame::decode(&keys(), &id(other), &bytes);

        assert_matches!(decoded, Err(FrameError::Unauthenticated));
    }
}

#[test]
fn mac_of_an_http_request_authenticates_no_frame() {
    let envelope = envelope(1);
    let frame = frame::encode(&keys(), &envelope).expect("a frame");
    let to = envelope.to.as_str().as_bytes();
    let signed = [&[to.len() as u8], to, &frame[FRAME_MAC_BYTES..]].concat();

    let mac = keys().signer().mac(&signed);
    let forged = [&mac.as_bytes()[..FRAME_MAC_BYTES], &frame[FRAME_MAC_BYTES..]].concat();

    assert_matches!(frame::decode(&keys(), &own(), &forged), Err(FrameError::Unauthenticated));
}

#[test]
fn deeply_nested_request_head_is_refused() {
    let body = format!("{{\"model\":\"medlar\",\"prompt\":{}", "[".repeat(1_000_000));

    assert_matches!(InferenceParams::parse(body.as_bytes()), Err(_));
}

#[test]
fn event_above_the_size_limit_is_detected() {
    let mut splitter = EventSplitter::default();

    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);

    assert!(splitter.next_event().is_none());
    assert!(splitter.exceeds_limit());
}
