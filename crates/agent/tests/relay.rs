//! The relay agent of a model engine, as a real process.

use std::time::Duration;

use berylhook_test_support::{Daemon, Signal, free_address};

fn settings() -> String {
    let (listen, engine, store) = (free_address(), free_address(), free_address());
    format!(
        "[listen]\naddress = {listen}\n[engine]\naddress = {engine}\nservice = llm\n\
         [store]\naddress = {store}\n"
    )
}

// Guards against all relay agents exiting at once: the platform sends SIGHUP to every process when
// it changes the settings, and the default action of an unhandled SIGHUP ends the process.
#[tokio::test]
async fn sighup_does_not_end_the_agent() {
    let mut agent =
        Daemon::start("berylhook-agent", &["relay"], &settings()).expect("the agent starts");
    tokio::time::sleep(Duration::from_millis(300)).await;

    agent.signal(Signal::Reload);
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert!(!agent.has_exited());
    agent.signal(Signal::Terminate);
    assert_eq!(agent.wait().expect("the agent exits after SIGTERM"), 0);
}
