//! Calls to replication groups, and replies that come late.

use medlarlug::{coordination::calls::Calls, protocol::GroupReply};

#[test]
fn reply_to_a_call_of_an_earlier_process_answers_no_call_of_this_one() {
    let (mut former, mut calls) = (Calls::new(1 << 20), Calls::new(2 << 20));
    let (late, _) = former.open();
    let (call, mut waiting) = calls.open();

    calls.reply(late, GroupReply::Uncertain);
    let early = waiting.try_recv();
    calls.reply(call, GroupReply::Unfit);

    assert!(early.is_err(), "{early:?}");
    assert_eq!(waiting.try_recv(), Ok(GroupReply::Unfit));
}
