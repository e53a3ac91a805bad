//! Whose counts a leader reads.

use berylhook_groups::counts_window::CountsWindow;

const RANKS: usize = 192;
const NUMBERS: usize = 3_840;

/// A link over which the answers of that many ranks come in time.
struct Link {
    carries_ranks: usize,
}

/// Reads `readings` times; gives how often each rank's counts came. Beyond what the link
/// carries everything is late, as the answers share it.
fn read(link: &Link, readings: usize) -> Vec<usize> {
    let mut counted = CountsWindow::new(NUMBERS);
    let mut came = vec![0; RANKS];
    for _ in 0..readings {
        let asked: Vec<usize> = (0..RANKS)
            .filter(|rank| counted.includes(*rank, RANKS))
            .collect();
        let is_in_time = asked.len() <= link.carries_ranks;
        if is_in_time {
            for rank in &asked {
                came[*rank] += 1;
            }
        }
        counted.record_poll(RANKS, if is_in_time { 0 } else { asked.len() });
    }
    came
}

// Symptom: after a loss of power no map of a group of 192 ranks changes any more, and
// passes stay four times as long. Sequence: the entry that is elected has a link of 40
// Mbit/s; it asks all agents at once for whole counts; none of the answers is there in
// time; it asks for the whole of all of them again. Cause: nothing made the leader ask
// for less than its link carries.
#[test]
fn a_leader_on_a_narrow_link_reads_by_turns() {
    let narrow = Link { carries_ranks: 40 };

    let came = read(&narrow, 40);

    assert!(came.iter().all(|times| *times >= 2), "{came:?}");
}

#[test]
fn a_leader_on_a_wide_link_soon_reads_all_ranks_each_time() {
    let wide = Link {
        carries_ranks: RANKS,
    };

    let came = read(&wide, 8);

    assert!(came.iter().all(|times| *times >= 4), "{came:?}");
}

#[test]
fn a_small_group_is_read_whole_from_the_first_time_on() {
    let counted = CountsWindow::new(1_536);

    assert!((0..24).all(|rank| counted.includes(rank, 24)));
}

#[test]
fn an_agent_that_is_gone_does_not_slow_the_others() {
    let mut counted = CountsWindow::new(NUMBERS);
    for _ in 0..6 {
        counted.record_poll(RANKS, 1);
    }

    assert!((0..RANKS).all(|rank| counted.includes(rank, RANKS)));
}
