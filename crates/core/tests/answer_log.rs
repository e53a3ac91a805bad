//! Which silences of a store are outages, and when they ended.

use berylhook_core::answer_log::AnswerLog;
use berylhook_core::time::MonoMs;

/// A log of answers each second up to `until_s`.
fn answering_until(until_s: u64) -> AnswerLog {
    let mut log = AnswerLog::default();
    for second in 0..=until_s {
        log.on_answer(MonoMs(second * 1_000));
    }
    log
}

#[test]
fn a_store_that_keeps_answering_has_no_outage() {
    let log = answering_until(10);

    assert_eq!(log.outage_end_ms(), None);
    assert_eq!(log.answering_ms(MonoMs(10_000)), 10_000);
}

// Guards against a process that starts during an outage and vouches for the time before.
#[test]
fn the_time_before_the_first_answer_does_not_count() {
    let mut log = AnswerLog::default();

    log.on_answer(MonoMs(5_000));

    assert_eq!(log.answering_ms(MonoMs(5_500)), 500);
    assert_eq!(log.outage_end_ms(), None);
}

#[test]
fn a_silence_is_an_outage_until_the_next_answer() {
    let mut log = answering_until(3);

    log.on_answer(MonoMs(8_000));
    log.on_answer(MonoMs(9_000));

    assert_eq!(log.outage_end_ms(), Some(MonoMs(8_000)));
    assert_eq!(log.answering_ms(MonoMs(9_000)), 1_000);
}

// Guards against an outage of one process's own connections that is taken for one of the store.
#[test]
fn an_outage_is_ruled_out_by_a_peer_that_got_answers_throughout() {
    let mut log = answering_until(3);

    log.on_answer(MonoMs(8_000));
    log.on_report(6_000, MonoMs(8_500));

    assert_eq!(log.outage_end_ms(), None);
    assert_eq!(log.answering_ms(MonoMs(8_500)), 6_000);
}

#[test]
fn an_outage_ends_with_the_first_answer_to_anyone() {
    let mut log = answering_until(3);

    log.on_answer(MonoMs(8_000));
    log.on_report(1_500, MonoMs(8_500));

    assert_eq!(log.outage_end_ms(), Some(MonoMs(7_000)));
}

// Guards against a peer that has been cut off for longer and shortens nothing.
#[test]
fn a_later_return_of_a_peer_changes_nothing() {
    let mut log = answering_until(3);

    log.on_answer(MonoMs(8_000));
    log.on_report(100, MonoMs(8_500));

    assert_eq!(log.outage_end_ms(), Some(MonoMs(8_000)));
}

// Guards against a grace period while only this process fails: its peers report answers.
#[test]
fn reports_of_peers_count_as_answers() {
    let mut log = answering_until(3);

    for second in 4..9 {
        log.on_report(second * 1_000, MonoMs(second * 1_000));
    }
    log.on_answer(MonoMs(9_000));

    assert_eq!(log.outage_end_ms(), None);
}
