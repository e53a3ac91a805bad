//! The agent beside a model engine, as a real process.

use std::time::Duration;

use berylhook_test_support::{Daemon, Signal, free_address};

fn settings() -> String {
    let (listen, engine, store) = (free_address(), free_address(), free_address());
    format!(
        "[listen]\naddress = {listen}\n[engine]\naddress = {engine}\nservice = llm\n\
         [store]\naddress = {store}\n"
    )
}

// Symptom: all agents end by themselves at one moment. Sequence: the platform
// changes the settings and sends SIGHUP to every process. Cause: the signal was
// left to its default, which ends a process.
#[tokio::test]
async fn a_reload_does_not_end_the_agent() {
    let mut agent = Daemon::start("berylhook-agent", &["relay"], &settings()).expect("it starts");
    tokio::time::sleep(Duration::from_millis(300)).await;

    agent.signal(Signal::Reload);
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert!(!agent.has_exited());
    agent.signal(Signal::Terminate);
    assert_eq!(agent.wait().expect("it ends by itself"), 0);
}
