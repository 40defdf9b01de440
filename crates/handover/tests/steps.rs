//! The state machines of a hand-over, with events in the expected order and in any other order.

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

/// Returns the predecessor's state after `events`, and all its actions.
fn predecessor_after(events: &[PredecessorEvent]) -> (Predecessor, Vec<PredecessorAction>) {
    let mut predecessor = Predecessor::default();
    let actions = events
        .iter()
        .flat_map(|event| predecessor.handle(*event))
        .copied()
        .collect();
    (predecessor, actions)
}

#[test]
fn complete_hand_over_yields_all_actions_in_order() {
    let (predecessor, actions) =
        predecessor_after(&[OURS, PredecessorEvent::Prepared, PredecessorEvent::Taken]);
    let expected = [
        PredecessorAction::TellKnown,
        PredecessorAction::StopAccepting,
        PredecessorAction::SendCarry,
        PredecessorAction::SendClientsAway,
    ];
    assert_eq!(
        (predecessor, actions.as_slice()),
        (Predecessor::Followed, expected.as_slice())
    );
    assert_eq!(
        predecessor_after(&[
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
fn predecessor_resumes_if_the_successor_dies() {
    for n in 1..=3 {
        let mut events = [OURS, PredecessorEvent::Prepared, PredecessorEvent::Taken][..n].to_vec();
        events.push(PredecessorEvent::Lost);
        let (predecessor, actions) = predecessor_after(&events);
        assert_eq!(predecessor, Predecessor::Alone, "{events:?}");
        let stopped = actions.contains(&PredecessorAction::StopAccepting);
        assert_eq!(
            actions.contains(&PredecessorAction::Resume),
            stopped,
            "the predecessor resumes if and only if it had stopped accepting: {events:?}"
        );
        // Another successor can take over afterwards.
        events.extend([OURS, PredecessorEvent::Prepared]);
        assert_eq!(predecessor_after(&events).0, Predecessor::Yielded);
    }
}

#[test]
fn no_action_follows_sigterm_and_only_a_followed_predecessor_stops_accepting() {
    // All sequences of five events.
    for n in 0..ALL.len().pow(5) {
        let events: Vec<PredecessorEvent> = (0..5)
            .map(|i| ALL[n / ALL.len().pow(i) % ALL.len()])
            .collect();
        let (predecessor, actions) = predecessor_after(&events);
        let terminated_at = events
            .iter()
            .position(|event| *event == PredecessorEvent::Terminate);
        if let Some(terminated_at) = terminated_at {
            assert_eq!(predecessor, Predecessor::Ending);
            assert_eq!(
                actions,
                predecessor_after(&events[..terminated_at]).1,
                "no action may follow SIGTERM: {events:?}"
            );
        }
        let stops = actions
            .iter()
            .filter(|action| **action == PredecessorAction::StopAccepting)
            .count();
        let resumes = actions
            .iter()
            .filter(|action| **action == PredecessorAction::Resume)
            .count();
        let stops_in_effect = stops - resumes;
        assert!(stops_in_effect <= 1);
        if terminated_at.is_none() {
            assert_eq!(
                stops_in_effect == 1,
                predecessor.is_followed(),
                "{events:?}: the predecessor accepts unless it is followed"
            );
        }
    }
}

#[test]
fn successor_serves_alone_if_the_predecessor_leaves_at_any_step() {
    let known = HandoverMessage::Known(serde_json::Value::Null);
    let carry = HandoverMessage::Carry(Box::default());
    let mut successor = Successor::Greeted;
    assert_eq!(successor.handle(Some(&known)), Successor::Starting);
    assert!(successor.prepared());
    assert_eq!(successor.handle(Some(&carry)), Successor::Follows);
    assert_eq!(successor.handle(None), Successor::Follows);
    for state in [
        Successor::Greeted,
        Successor::Starting,
        Successor::Prepared,
        Successor::Alone,
    ] {
        let mut successor = state;
        assert_eq!(successor.handle(None), Successor::Alone, "{state:?}");
        assert!(
            !successor.prepared(),
            "there is no predecessor to send `Prepared` to"
        );
    }
    let mut successor = Successor::Greeted;
    assert_eq!(
        successor.handle(Some(&carry)),
        Successor::Alone,
        "state that was not requested must be rejected"
    );
}
