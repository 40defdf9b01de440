//! The course of a stop, without sockets.

use std::time::Duration;

use damsonbeam_proxy::stop::{Step, Stop};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The steps of a stop with a tick of 25 ms, where so many answers are owed until then.
fn steps(grace: u64, owed_until: u64) -> Vec<(u64, Step)> {
    let mut stop = Stop::new(ms(grace));
    let mut steps = Vec::new();
    for at in (0..).step_by(25) {
        let step = stop.step(ms(at), usize::from(at < owed_until));
        steps.extend(step.filter(|s| *s != Step::RefuseUnsent).map(|s| (at, s)));
        if step == Some(Step::Exit) {
            return steps;
        }
    }
    unreachable!("it ends")
}

#[test]
fn a_stop_waits_for_what_is_owed_and_answers_the_rest_before_it_is_killed() {
    assert_eq!(
        steps(6000, 0),
        [(2500, Step::StopAccepting), (2600, Step::Exit)]
    );
    assert_eq!(
        steps(6000, 4000),
        [(2500, Step::StopAccepting), (4000, Step::Exit)]
    );
    let cut = [
        (2500, Step::StopAccepting),
        (5700, Step::AnswerAll),
        (5750, Step::Exit),
    ];
    assert_eq!(steps(6000, 5750), cut);
    let unwritten = [
        (2500, Step::StopAccepting),
        (5700, Step::AnswerAll),
        (5900, Step::Exit),
    ];
    assert_eq!(steps(6000, 60_000), unwritten);
    // A grace shorter than the time for accepting is not overrun.
    assert_eq!(
        steps(1000, 60_000),
        [(700, Step::AnswerAll), (900, Step::Exit)]
    );
}

#[test]
fn what_was_not_sent_is_refused_at_once_and_again_and_again() {
    let mut stop = Stop::new(ms(6000));
    let refused: Vec<u64> = (0..1000)
        .step_by(25)
        .filter(|at| stop.step(ms(*at), 9) == Some(Step::RefuseUnsent))
        .collect();
    assert_eq!(refused, [0, 250, 500, 750]);
}
