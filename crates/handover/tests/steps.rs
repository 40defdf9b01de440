//! The steps of a hand-over, in order and out of it.

use damsonbeam_handover::{
    HandoverMessage, Predecessor, PredecessorAction, PredecessorEvent, Successor,
};

const OURS: PredecessorEvent = PredecessorEvent::Hello { ours: true };
const ALL: [PredecessorEvent; 6] = [
    OURS,
    PredecessorEvent::Hello { ours: false },
    PredecessorEvent::Prepared,
    PredecessorEvent::Taken,
    PredecessorEvent::Lost,
    PredecessorEvent::Terminate,
];

fn after(event: &[PredecessorEvent]) -> (Predecessor, Vec<PredecessorAction>) {
    let mut predecessor = Predecessor::default();
    let actions = event
        .iter()
        .flat_map(|h| predecessor.handle(*h))
        .copied()
        .collect();
    (predecessor, actions)
}

#[test]
fn the_steps_of_a_hand_over_come_in_order() {
    let (predecessor, actions) =
        after(&[OURS, PredecessorEvent::Prepared, PredecessorEvent::Taken]);
    let all = [
        PredecessorAction::TellKnown,
        PredecessorAction::StopAccepting,
        PredecessorAction::SendCarry,
        PredecessorAction::SendClientsAway,
    ];
    assert_eq!(
        (predecessor, actions.as_slice()),
        (Predecessor::Followed, all.as_slice())
    );
    assert_eq!(
        after(&[
            OURS,
            PredecessorEvent::Prepared,
            PredecessorEvent::Taken,
            PredecessorEvent::Terminate
        ])
        .0,
        Predecessor::Ending
    );
}

#[test]
fn a_successor_that_dies_leaves_the_predecessor_as_it_was() {
    for n in 1..=3 {
        let mut event = [OURS, PredecessorEvent::Prepared, PredecessorEvent::Taken][..n].to_vec();
        event.push(PredecessorEvent::Lost);
        let (predecessor, actions) = after(&event);
        assert_eq!(predecessor, Predecessor::Alone, "{event:?}");
        let stopped = actions.contains(&PredecessorAction::StopAccepting);
        assert_eq!(
            actions.contains(&PredecessorAction::Resume),
            stopped,
            "it accepts again iff it had stopped: {event:?}"
        );
        // And the next one can follow it.
        event.extend([OURS, PredecessorEvent::Prepared]);
        assert_eq!(after(&event).0, Predecessor::Yielded);
    }
}

#[test]
fn told_to_end_nothing_takes_it_back_and_out_of_order_nothing_is_handed_over() {
    // All sequences of five.
    for n in 0..ALL.len().pow(5) {
        let event: Vec<PredecessorEvent> = (0..5)
            .map(|i| ALL[n / ALL.len().pow(i) % ALL.len()])
            .collect();
        let (predecessor, actions) = after(&event);
        let ended = event.iter().position(|h| *h == PredecessorEvent::Terminate);
        if let Some(ended) = ended {
            assert_eq!(predecessor, Predecessor::Ending);
            assert_eq!(
                actions,
                after(&event[..ended]).1,
                "after SIGTERM nothing is done: {event:?}"
            );
        }
        let stops = actions
            .iter()
            .filter(|d| **d == PredecessorAction::StopAccepting)
            .count();
        let resumes = actions
            .iter()
            .filter(|d| **d == PredecessorAction::Resume)
            .count();
        let silent = stops - resumes;
        assert!(silent <= 1);
        if ended.is_none() {
            assert_eq!(
                silent == 1,
                predecessor.is_followed(),
                "{event:?}: it accepts unless it is followed"
            );
        }
    }
}

#[test]
fn the_successor_serves_alone_from_whatever_step_the_predecessor_leaves_it() {
    let known = HandoverMessage::Known(serde_json::Value::Null);
    let carry = HandoverMessage::Carry(Box::default());
    let mut successor = Successor::Greeted;
    assert_eq!(successor.handle(Some(&known)), Successor::Starting);
    assert!(successor.prepared());
    assert_eq!(successor.handle(Some(&carry)), Successor::Follows);
    assert_eq!(successor.handle(None), Successor::Follows);
    for before in [
        Successor::Greeted,
        Successor::Starting,
        Successor::Prepared,
        Successor::Alone,
    ] {
        let mut successor = before;
        assert_eq!(successor.handle(None), Successor::Alone, "{before:?}");
        assert!(!successor.prepared(), "nobody is there to tell");
    }
    let mut successor = Successor::Greeted;
    assert_eq!(
        successor.handle(Some(&carry)),
        Successor::Alone,
        "a state that was not asked for is not taken"
    );
}
