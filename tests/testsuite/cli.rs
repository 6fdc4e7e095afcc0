//! The operators' command line against a server with canned answers.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Command, Output, Stdio},
    thread::{self, JoinHandle},
};

use medlarlug::protocol::{
    Problem,
    explain::{Decision, Explanation, UpstreamView},
    operators::{AcceptedNote, Confirmations, LevelChange, ZoneConfirmation},
};
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{ReleaseNumber, Revision},
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::{ItemKey, RawNote},
};
use serde::Serialize;
use tempfile::TempDir;
use test_support::{free_address, id};

const NOTE: &str = "\
number: 1
operator: anna
base: 0
added:
  - region: { id: riga, zones: [riga-a] }
  - team:
      id: survey
      home: riga
      keys: [00112233445566778899aabbccddeeff]
      residency: { regions: [riga] }
      rate: 10
      burst: 20
";

/// A request that the command line sent.
struct ReceivedRequest {
    head: String,
    body: Vec<u8>,
}

impl ReceivedRequest {
    fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

/// A server in place of an operators' port that gives canned answers, one on each connection.
struct CannedServer {
    address: SocketAddr,
    thread: JoinHandle<Vec<ReceivedRequest>>,
}

fn serve_canned(answers: Vec<(u16, String)>) -> CannedServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        answers.iter().map(|(status, body)| serve(&listener, *status, body)).collect()
    });
    CannedServer { address, thread }
}

fn serve(listener: &TcpListener, status: u16, body: &str) -> ReceivedRequest {
    let (mut socket, _) = listener.accept().unwrap();
    let mut reader = BufReader::new(socket.try_clone().unwrap());
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert_ne!(
            reader.read_line(&mut head).unwrap(),
            0,
            "the connection closed before the request was complete"
        );
    }
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let mut sent = vec![0; length.map_or(0, |it| it.parse().unwrap())];
    reader.read_exact(&mut sent).unwrap();
    let length = body.len();
    write!(socket, "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}").unwrap();
    ReceivedRequest { head, body: sent }
}

fn ok<T: Serialize>(body: &T) -> (u16, String) {
    (200, serde_json::to_string(body).unwrap())
}

fn problem(status: u16, kind: &str, outcome: Outcome) -> (u16, String) {
    let problem = Problem::new(status, kind, "not available", outcome);
    (status, serde_json::to_string(&problem).unwrap())
}

fn medlarlug(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarlug"))
        .args(arguments)
        .env_remove("MEDLARLUG_AT")
        .env_remove("MEDLARLUG_KEY_FILE")
        .output()
        .unwrap()
}

/// Runs the command line; `address` replaces each argument `AT`.
fn run_at(address: SocketAddr, arguments: &[&str]) -> Output {
    let address = address.to_string();
    let replaced: Vec<&str> =
        arguments.iter().map(|it| if *it == "AT" { address.as_str() } else { it }).collect();
    medlarlug(&replaced)
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn file(folder: &TempDir, name: &str, text: &str) -> String {
    let path: PathBuf = folder.path().join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

fn accepted(revision: u64) -> AcceptedNote {
    AcceptedNote { number: ReleaseNumber(1), operator: id("anna"), revision: Revision(revision) }
}

fn confirmations(known: Option<u64>) -> Confirmations {
    let zone = |name, known: Option<u64>| ZoneConfirmation {
        zone: id(name),
        revision: known.map(Revision),
        missing: Vec::new(),
    };
    Confirmations {
        revision: Revision(1),
        everywhere: false,
        leases_ms: Some(8_000),
        zones: vec![zone("liepaja-a", known), zone("riga-a", Some(1))],
    }
}

#[test]
fn bad_arguments_get_one_line_and_exit_code_2() {
    let cases: [&[&str]; 6] = [
        &[],
        &["bogus"],
        &["status"],
        &["status", "--at", "riga"],
        &["request", "--at", "127.0.0.1:9", "not-an-id"],
        &["log-level", "--at", "127.0.0.1:9", "loud"],
    ];
    for arguments in cases {
        let output = medlarlug(arguments);

        assert_eq!(code(&output), 2, "{arguments:?}: {}", stderr(&output));
        assert_eq!(stderr(&output).lines().count(), 1, "{arguments:?}: {}", stderr(&output));
    }
}

#[test]
fn every_command_has_help() {
    let commands: [&[&str]; 13] = [
        &["release"],
        &["release", "check"],
        &["release", "apply"],
        &["release", "show"],
        &["release", "history"],
        &["status"],
        &["request"],
        &["upstreams"],
        &["explain"],
        &["dump"],
        &["drain"],
        &["log-level"],
        &["key", "hash"],
    ];
    for command in commands {
        let output = medlarlug(&[command, &["--help"]].concat());

        assert_eq!(code(&output), 0, "{command:?}");
        assert!(stdout(&output).contains("Usage: medlarlug"), "{command:?}");
    }
    let general = stdout(&medlarlug(&["--help"]));
    assert!(general.contains("Exit codes: 0 done"), "{general}");
}

#[test]
fn unreachable_process_gets_exit_code_3_and_the_next_address_is_tried() {
    let unreachable = free_address().to_string();
    let reachable = serve_canned(vec![ok(&Vec::<AcceptedNote>::new())]);

    let alone = medlarlug(&["release", "history", "--at", &unreachable]);
    let both =
        run_at(reachable.address, &["release", "history", "--at", &unreachable, "--at", "AT"]);

    assert_eq!(code(&alone), 3);
    assert!(stderr(&alone).starts_with(&format!("medlarlug: no answer from {unreachable}: ")));
    assert_eq!(stderr(&alone).lines().count(), 1);
    assert_eq!(code(&both), 0, "{}", stderr(&both));
}

#[test]
fn note_is_sent_as_json_with_the_bearer_key() {
    let folder = TempDir::new().unwrap();
    let (note, key) = (file(&folder, "note.yaml", NOTE), file(&folder, "key", "open-sesame\n"));
    let server = serve_canned(vec![ok(&accepted(1))]);

    let output =
        run_at(server.address, &["release", "apply", "--at", "AT", "--key-file", &key, &note]);

    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let sent = server.thread.join().unwrap();
    assert_eq!(stdout(&output), "note 1 of anna is revision 1\n");
    assert_eq!(sent[0].request_line(), "POST /release/apply HTTP/1.1");
    assert!(sent[0].head.contains("authorization: Bearer open-sesame\r\n"));
    let raw: RawNote = serde_json::from_slice(&sent[0].body).unwrap();
    assert_eq!(raw.added.len(), 2);
}

#[test]
fn apply_waits_until_every_zone_has_the_revision() {
    let folder = TempDir::new().unwrap();
    let note = file(&folder, "note.yaml", NOTE);
    let answers = vec![ok(&accepted(1)), ok(&confirmations(None)), ok(&confirmations(Some(1)))];
    let server = serve_canned(answers);

    let output = run_at(server.address, &["release", "apply", "--wait", "--at", "AT", &note]);

    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(
        stdout(&output),
        "note 1 of anna is revision 1\nliepaja-a: in force\nriga-a: in force\nin force everywhere\n"
    );
    let sent = server.thread.join().unwrap();
    assert_eq!(sent[1].request_line(), "GET /release/confirmations?revision=1 HTTP/1.1");
}

#[test]
fn revision_is_in_effect_everywhere_once_the_leases_of_the_others_have_expired() {
    let folder = TempDir::new().unwrap();
    let note = file(&folder, "note.yaml", NOTE);
    let mut report = confirmations(None);
    report.everywhere = true;
    report.leases_ms = Some(0);
    report.zones[0].missing = vec![id("entry-2")];
    let server = serve_canned(vec![ok(&accepted(1)), ok(&report)]);

    let output = run_at(server.address, &["release", "apply", "--wait", "--at", "AT", &note]);

    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(
        stdout(&output),
        "note 1 of anna is revision 1\nliepaja-a: not confirmed by entry-2; lease run out\n\
         riga-a: in force\nin force everywhere\n"
    );
}

#[test]
fn zone_that_does_not_confirm_in_time_is_named_with_exit_code_7() {
    let folder = TempDir::new().unwrap();
    let note = file(&folder, "note.yaml", NOTE);
    let server = serve_canned(vec![ok(&accepted(1)), ok(&confirmations(Some(0)))]);

    let output = run_at(
        server.address,
        &["release", "apply", "--wait", "--wait-limit", "0", "--at", "AT", &note],
    );

    assert_eq!(code(&output), 7);
    assert_eq!(
        stderr(&output),
        "medlarlug: revision 1 is accepted, but not confirmed yet in: liepaja-a\n"
    );
}

#[test]
fn invalid_note_is_reported_with_its_position_and_exit_code_8() {
    let folder = TempDir::new().unwrap();
    let note = file(&folder, "note.yaml", &NOTE.replace("  - region", "  - regoin"));

    let output = medlarlug(&["release", "check", "--at", "127.0.0.1:9", &note]);

    assert_eq!(code(&output), 8);
    assert_eq!(
        stderr(&output),
        format!(
            "medlarlug: {note}: unknown variant `regoin`, expected one of region, model, \
             service, team, link, policy at line 5, column 5\n"
        )
    );
}

#[test]
fn refusals_have_distinct_exit_codes() {
    let cases = [
        (401, Outcome::NotRun, 4),
        (404, Outcome::NotRun, 5),
        (409, Outcome::NotRun, 6),
        (503, Outcome::Unknown, 9),
    ];
    for (status, outcome, expected) in cases {
        let server = serve_canned(vec![problem(status, "some_kind", outcome)]);

        let output = run_at(server.address, &["request", "riga.e.1.1", "--at", "AT"]);

        assert_eq!(code(&output), expected, "{status}");
        let line = format!("medlarlug: {} refused: not available (some_kind)\n", server.address);
        assert_eq!(stderr(&output), line);
    }
}

#[test]
fn answer_that_is_not_json_gets_exit_code_1() {
    let server = serve_canned(vec![(200, "<html>".into())]);

    let output = run_at(server.address, &["dump", "--at", "AT"]);

    assert_eq!(code(&output), 1);
}

#[test]
fn explanation_is_printed_with_the_state_of_each_upstream() {
    let upstream = UpstreamView {
        id: "engine-1".into(),
        zone: "riga-a".into(),
        is_usable: false,
        wait_ms: 42,
        cost_ms: 58,
        running: 3,
        age_ms: 700,
        is_ready: true,
        is_cold: true,
        is_evacuated: false,
        is_avoided: false,
        is_leaving: false,
        backoff_ms: Some(900),
        limit: Some(1.7),
        has_permit: false,
        ramp_calls: Some(1),
    };
    let explanation = Explanation {
        route: "safe".into(),
        service: "scribe".into(),
        table: 7,
        newest_table: 8,
        prompt_tokens: 0,
        is_isolated: false,
        may_serve: true,
        decision: Decision::Refuse { retry_after_s: 0.6, wait_ms: None },
        upstreams: vec![upstream],
        regions: Vec::new(),
    };
    let server = serve_canned(vec![ok(&explanation)]);
    let arguments = ["explain", "AT", "--host", "riga.example", "--path", "/safe/a"];

    let printed = stdout(&run_at(server.address, &arguments));

    let expected = [
        "route safe, service scribe, table 7 (behind 8)",
        "refused, no hop; Retry-After about 0.6 s",
        "cold, backoff 900 ms, ramp 1, limit 1.7/s, no permit",
    ];
    assert!(expected.iter().all(|part| printed.contains(part)), "{printed}");
    let requests = server.thread.join().unwrap();
    assert_eq!(requests[0].request_line(), "GET /explain?host=riga.example&path=/safe/a HTTP/1.1");
    let invalid = medlarlug(&["explain", "127.0.0.1:1", "--host", "h", "--path", "/a?b"]);
    assert_eq!(code(&invalid), 2, "{}", stderr(&invalid));
}

#[test]
fn record_of_a_request_is_printed_as_a_timeline_or_as_json() {
    let step =
        |millis, stage| TimelineEntry { after: std::time::Duration::from_millis(millis), stage };
    let ended = Stage::Ended { outcome: Outcome::Answered, reason: "whole".into() };
    let record = RequestRecord {
        id: id("riga.entry-1.3.42"),
        team: id("survey"),
        target: ItemKey::Model(id("medlar")),
        outcome: Some(Outcome::Answered),
        timeline: vec![
            step(0, Stage::Received { instance: id("entry-1") }),
            step(2, Stage::Sent { upstream: id("engine-1") }),
            step(30, ended),
        ],
    };
    let server = serve_canned(vec![ok(&record), ok(&record)]);

    let table = run_at(server.address, &["request", "--at", "AT", "riga.entry-1.3.42"]);
    let json = run_at(server.address, &["request", "--at", "AT", "--json", "riga.entry-1.3.42"]);

    assert_eq!(
        stdout(&table),
        "riga.entry-1.3.42  team survey  model medlar  answered
      0.000 ms  received by entry-1
      2.000 ms  sent to engine-1
     30.000 ms  ended answered: whole
"
    );
    assert_eq!(serde_json::from_str::<RequestRecord>(&stdout(&json)).unwrap(), record);
}

#[test]
fn command_on_one_process_refuses_several_addresses() {
    let output = medlarlug(&["drain", "--at", "127.0.0.1:9", "--at", "127.0.0.1:10"]);

    assert_eq!(code(&output), 2);
}

#[test]
fn log_level_is_sent_and_confirmed() {
    let change = LevelChange { level: medlarlug::telemetry::logs::LogLevel::Debug };
    let server = serve_canned(vec![ok(&change)]);

    let output = run_at(server.address, &["log-level", "--at", "AT", "debug"]);

    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let sent = server.thread.join().unwrap();
    assert_eq!(stdout(&output), "log level debug\n");
    assert_eq!(sent[0].request_line(), "PUT /log-level HTTP/1.1");
    assert_eq!(sent[0].body, br#"{"level":"debug"}"#);
}

#[test]
fn key_hash_prints_the_fingerprint_of_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_medlarlug"))
        .args(["key", "hash"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"open-sesame\n").unwrap();

    let output = child.wait_with_output().unwrap();

    assert_eq!(stdout(&output), format!("{}\n", Fingerprint::of(b"open-sesame")));
}
