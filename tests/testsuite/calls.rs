//! Calls to replication groups, and late replies.

use medlarlug::{coordination::calls::PendingCalls, protocol::GroupReply};

#[test]
fn reply_to_a_call_of_an_earlier_process_completes_no_pending_call() {
    let (mut earlier_calls, mut calls) = (PendingCalls::new(1 << 20), PendingCalls::new(2 << 20));
    let (late, _) = earlier_calls.register();
    let (call, mut waiting) = calls.register();

    calls.complete(late, GroupReply::Uncertain);
    let early = waiting.try_recv();
    calls.complete(call, GroupReply::UnsupportedRequest);

    assert!(early.is_err(), "{early:?}");
    assert_eq!(waiting.try_recv(), Ok(GroupReply::UnsupportedRequest));
}
