//! Tests of the inbox of an actor.

use runtime::actor::Inbox;

#[test]
fn full_inbox_rejects_inputs() {
    let (inbox, mut receiver) = Inbox::with_capacity(2);
    assert!(inbox.push(1) && inbox.push(2));
    assert!(!inbox.push(3), "the third input exceeds the capacity");
    assert_eq!(receiver.try_recv(), Ok(1));
    assert!(inbox.push(4), "there is capacity again");
    assert_eq!((receiver.try_recv(), receiver.try_recv()), (Ok(2), Ok(4)));
}
