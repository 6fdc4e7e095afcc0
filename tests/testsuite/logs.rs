//! The buffer of log lines while their reader has stopped.

use std::io::Write;

use medlarlug::telemetry::logs::LineBuffer;

const LINE: &[u8] = b"{\"message\":\"call ended\"}\n";

#[test]
fn stopped_reader_delays_no_writer_and_dropped_lines_are_counted() {
    let mut buffer = LineBuffer::default();

    for _ in 0..100_000 {
        buffer.write_all(LINE).unwrap();
    }
    let mut out = Vec::new();
    buffer.flush_to(&mut out);

    let text = String::from_utf8(out).unwrap();
    let kept = text.matches("call ended").count();
    let dropped = 100_000 - kept;
    assert!(kept * LINE.len() <= 1 << 20);
    assert!(text.contains(&format!("\"dropped\":{dropped}")), "{}", &text[text.len() - 200..]);
}

#[test]
fn lines_after_a_flush_are_kept_again() {
    let mut buffer = LineBuffer::default();
    (0..100_000).for_each(|_| buffer.write_all(LINE).unwrap());
    buffer.flush_to(&mut Vec::new());

    buffer.write_all(LINE).unwrap();
    let mut out = Vec::new();
    buffer.flush_to(&mut out);

    assert_eq!(out, LINE);
}
