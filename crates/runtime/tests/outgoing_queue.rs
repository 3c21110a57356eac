//! Tests of the queue of messages to be written to a peer that reads slowly.

use std::time::Duration;

use caperworks::messages::{Granted, Message};
use runtime::outgoing_queue::OutgoingQueue;

fn grant(number: u64) -> Message {
    Message::Grant {
        granted: Granted {
            number,
            quorum_read_age: Duration::ZERO,
            versions: Vec::new(),
            instances: Vec::new(),
            instances_offset: 0,
            members: Vec::new(),
            members_offset: 0,
            updates: Vec::new(),
            has_quorum: true,
            deregistered: Vec::new(),
            proxies: 1,
            in_chunks: Vec::new(),
            more: false,
            position: None,
            collecting_left: None,
        },
    }
}

fn quorum_read_request(number: u64) -> Message {
    Message::QuorumReadRequest {
        number,
        deregistrations: None,
    }
}

fn encoded(message: &Message) -> Vec<u8> {
    minicbor::to_vec(message).expect("it encodes")
}

fn filled(messages: &[Message]) -> OutgoingQueue {
    let queue = OutgoingQueue::default();
    for message in messages {
        let pushed = queue.push(message, encoded(message));
        assert_eq!(pushed, Ok(()));
    }
    queue
}

/// Takes this many messages from a queue, as its writer does.
fn write_next(queue: &OutgoingQueue, count: usize) -> Vec<Message> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime starts");
    let next = |_| runtime.block_on(queue.next());
    let bytes = (0..count).map(next);
    bytes
        .map(|bytes| minicbor::decode(&bytes).expect("it decodes"))
        .collect()
}

#[test]
fn later_grant_supersedes_waiting_ones() {
    let queue = filled(&[
        grant(1),
        quorum_read_request(1),
        grant(2),
        quorum_read_request(2),
        grant(3),
    ]);
    let expected = vec![grant(3), quorum_read_request(1), quorum_read_request(2)];
    assert_eq!(write_next(&queue, 3), expected);
    // A later grant after the latest was written is queued again.
    let later = grant(4);
    assert_eq!(queue.push(&later, encoded(&later)), Ok(()));
    assert_eq!(write_next(&queue, 1), vec![later]);
}

#[test]
fn messages_that_do_not_supersede_are_all_written_in_sequence() {
    let messages: Vec<Message> = (0..10).map(quorum_read_request).collect();
    let queue = filled(&messages);
    assert_eq!(write_next(&queue, 10), messages);
}

#[test]
fn closed_queue_returns_the_message() {
    let queue = OutgoingQueue::default();
    queue.close();
    let message = quorum_read_request(1);
    assert_eq!(
        queue.push(&message, encoded(&message)),
        Err(encoded(&message))
    );
}
