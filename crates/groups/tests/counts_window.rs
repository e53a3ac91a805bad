//! Tests which ranks a leader polls for their counts on links of different speeds.

use berylhook_groups::counts_window::CountsWindow;

const RANKS: usize = 192;
const COUNTERS_PER_RANK: usize = 3_840;

/// A link on which the replies of at most `max_replies` ranks arrive in time.
struct Link {
    max_replies: usize,
}

/// Polls a group `polls` times and returns how often the counts of each rank arrived. All
/// replies are late if there are more than the link can carry, as they share it.
fn poll_group(link: &Link, polls: usize) -> Vec<usize> {
    let mut window = CountsWindow::new(COUNTERS_PER_RANK);
    let mut received = vec![0; RANKS];
    for _ in 0..polls {
        let requested: Vec<usize> = (0..RANKS)
            .filter(|rank| window.includes(*rank, RANKS))
            .collect();
        let is_in_time = requested.len() <= link.max_replies;
        if is_in_time {
            for rank in &requested {
                received[*rank] += 1;
            }
        }
        window.record_poll(RANKS, if is_in_time { 0 } else { requested.len() });
    }
    received
}

// Guards against a group of 192 ranks whose map never changes after a power failure, so
// that passes stay four times as long. This occurs if the elected entry has a link of 40
// Mbit/s and requests full counts from all agents at once: no reply arrives in time, and
// it repeats the same request instead of requesting less.
#[test]
fn slow_link_polls_all_ranks_in_rotation() {
    let slow_link = Link { max_replies: 40 };

    let received = poll_group(&slow_link, 40);

    assert!(received.iter().all(|times| *times >= 2), "{received:?}");
}

#[test]
fn fast_link_soon_polls_all_ranks_each_time() {
    let fast_link = Link { max_replies: RANKS };

    let received = poll_group(&fast_link, 8);

    assert!(received.iter().all(|times| *times >= 4), "{received:?}");
}

#[test]
fn first_poll_of_a_small_group_includes_all_ranks() {
    let window = CountsWindow::new(1_536);

    assert!((0..24).all(|rank| window.includes(rank, 24)));
}

#[test]
fn one_missing_agent_does_not_shrink_the_window() {
    let mut window = CountsWindow::new(COUNTERS_PER_RANK);
    for _ in 0..6 {
        window.record_poll(RANKS, 1);
    }

    assert!((0..RANKS).all(|rank| window.includes(rank, RANKS)));
}
