//! The sequence of shutdown steps, without sockets.

use std::time::Duration;

use damsonbeam_proxy::shutdown::{Shutdown, ShutdownStep};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the steps of a shutdown, refusals excepted, with the time of each in ms after SIGTERM. The step function is
/// called every 25 ms; one request is unanswered until `unanswered_until_ms`.
fn steps(grace_period_ms: u64, unanswered_until_ms: u64) -> Vec<(u64, ShutdownStep)> {
    let mut shutdown = Shutdown::new(ms(grace_period_ms));
    let mut steps = Vec::new();
    for at in (0..).step_by(25) {
        let step = shutdown.step(ms(at), usize::from(at < unanswered_until_ms));
        steps.extend(
            step.filter(|s| *s != ShutdownStep::RefuseUnsent)
                .map(|s| (at, s)),
        );
        if step == Some(ShutdownStep::Exit) {
            return steps;
        }
    }
    unreachable!("a shutdown ends with an exit step")
}

#[test]
fn shutdown_waits_for_unanswered_requests_and_answers_the_rest_before_sigkill() {
    assert_eq!(
        steps(6000, 0),
        [
            (2500, ShutdownStep::StopAccepting),
            (2600, ShutdownStep::AnnounceDeparture),
            (2650, ShutdownStep::Exit)
        ]
    );
    assert_eq!(
        steps(6000, 4000),
        [
            (2500, ShutdownStep::StopAccepting),
            (4000, ShutdownStep::AnnounceDeparture),
            (4050, ShutdownStep::Exit)
        ]
    );
    let answered_by_errors = [
        (2500, ShutdownStep::StopAccepting),
        (5700, ShutdownStep::AnswerAll),
        (5750, ShutdownStep::AnnounceDeparture),
        (5800, ShutdownStep::Exit),
    ];
    assert_eq!(steps(6000, 5750), answered_by_errors);
    let never_written = [
        (2500, ShutdownStep::StopAccepting),
        (5700, ShutdownStep::AnswerAll),
        (5850, ShutdownStep::AnnounceDeparture),
        (5900, ShutdownStep::Exit),
    ];
    assert_eq!(steps(6000, 60_000), never_written);
    // A grace period shorter than the accept duration is not exceeded.
    assert_eq!(
        steps(1000, 60_000),
        [
            (700, ShutdownStep::AnswerAll),
            (850, ShutdownStep::AnnounceDeparture),
            (900, ShutdownStep::Exit)
        ]
    );
}

#[test]
fn unsent_requests_are_refused_at_once_and_then_periodically() {
    let mut shutdown = Shutdown::new(ms(6000));
    let refused: Vec<u64> = (0..1000)
        .step_by(25)
        .filter(|at| shutdown.step(ms(*at), 9) == Some(ShutdownStep::RefuseUnsent))
        .collect();
    assert_eq!(refused, [0, 250, 500, 750]);
}
