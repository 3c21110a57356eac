//! Tests of control connections over real sockets on loopback: responses on the connection of the request,
//! connections that are dead, and connections that are reset.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use caperworks::facts::{Member, Role};
use caperworks::identifiers::{NodeId, Zone};
use caperworks::leases::LEASE_DURATION;
use caperworks::messages::{Envelope, Granted, Message, Renewal, ResponseExtent};
use caperworks::reduced_map::FeedForm;
use runtime::connections::{ControlPort, PortEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Far longer than any step of these tests takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between a follower's requests in these tests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// An address on which no process listens.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_port()).expect("a port is free");
    listener.local_addr().expect("it is bound")
}

fn renewal(number: u64) -> Message {
    let member = Member {
        node: NodeId(7),
        counter: number,
        role: Role::Proxy,
        zone: Zone::new("east-1"),
        control: UNUSED_ADDRESS,
        serving: UNUSED_ADDRESS,
        ready: true,
        capacity: 1,
        demand: Vec::new(),
        versions: Vec::new(),
        draining: false,
        client_zones: Vec::new(),
        demand_unchanged: false,
        suspected: false,
    };
    let renewal = Renewal {
        number,
        member,
        controller_incarnation: NodeId(0),
        instances_after: 0,
        members_after: 0,
        followed_maps: Vec::new(),
        form: FeedForm::Reduced,
        facts_age: None,
        extent: ResponseExtent::Full,
    };
    Message::Renew { renewal }
}

fn grant(number: u64) -> Message {
    let granted = Granted {
        number,
        quorum_read_age: LEASE_DURATION,
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
    };
    Message::Grant { granted }
}

fn envelope(message: Message) -> Envelope {
    Envelope {
        from: NodeId(1),
        reply_to: UNUSED_ADDRESS,
        message,
        stamp: None,
        echo: None,
        is_bidirectional: true,
    }
}

async fn write_message(stream: &mut TcpStream, message: Message) {
    let bytes = minicbor::to_vec(envelope(message)).expect("it encodes");
    stream
        .write_u32(bytes.len() as u32)
        .await
        .expect("the length is written");
    stream
        .write_all(&bytes)
        .await
        .expect("the frame is written");
}

async fn read_message(stream: &mut TcpStream) -> Message {
    let length = stream.read_u32().await.expect("a frame arrives");
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await.expect("it is complete");
    let envelope: Envelope = minicbor::decode(&bytes).expect("it decodes");
    envelope.message
}

/// Returns the port of a follower, and its events.
async fn follower() -> (ControlPort, mpsc::UnboundedReceiver<PortEvent>) {
    let (sender, events) = mpsc::unbounded_channel();
    // No connection can be opened to the address that it advertises.
    let port =
        ControlPort::open_with_events(NodeId(7), free_address(), UNUSED_ADDRESS, move |event| {
            let _ = sender.send(event);
        })
        .await
        .expect("the port opens");
    (port, events)
}

async fn next_message(events: &mut mpsc::UnboundedReceiver<PortEvent>) -> Message {
    loop {
        let event = timeout(TEST_TIMEOUT, events.recv()).await;
        match event.expect("an event occurs in time") {
            Some(PortEvent::Received(envelope)) => return envelope.message,
            Some(_) => {}
            None => panic!("the port has closed"),
        }
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let accepted = timeout(TEST_TIMEOUT, listener.accept()).await;
    accepted
        .expect("a connection is opened in time")
        .expect("it is accepted")
        .0
}

#[tokio::test]
async fn a_response_comes_back_on_the_connection_of_the_request() {
    let (sender, mut requests) = mpsc::unbounded_channel();
    let address = free_address();
    let controller = ControlPort::open(NodeId(1), address, address, move |envelope| {
        let _ = sender.send(envelope);
    })
    .await
    .expect("the port opens");
    let (follower, mut events) = follower().await;
    for number in 1..4 {
        follower.send(address, renewal(number));
        let poll = timeout(TEST_TIMEOUT, requests.recv()).await;
        let poll = poll
            .expect("a request arrives in time")
            .expect("the port is open");
        assert_eq!(poll.message, renewal(number));
        controller.send(poll.reply_to, grant(number));
        assert_eq!(next_message(&mut events).await, grant(number));
    }
}

#[tokio::test]
async fn an_earlier_release_receives_responses_at_its_own_address() {
    let (sender, mut requests) = mpsc::unbounded_channel();
    let address = free_address();
    let controller = ControlPort::open(NodeId(1), address, address, move |envelope| {
        let _ = sender.send(envelope);
    })
    .await
    .expect("the port opens");
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    let own = listener.local_addr().expect("it is bound");
    let mut stream = TcpStream::connect(address).await.expect("it opens");
    let poll = Envelope {
        reply_to: own,
        is_bidirectional: false,
        ..envelope(renewal(1))
    };
    let bytes = minicbor::to_vec(poll).expect("it encodes");
    stream.write_u32(bytes.len() as u32).await.expect("written");
    stream.write_all(&bytes).await.expect("written");
    let poll = timeout(TEST_TIMEOUT, requests.recv()).await;
    let poll = poll
        .expect("a request arrives in time")
        .expect("the port is open");
    controller.send(poll.reply_to, grant(1));
    let mut responses = accept(&listener).await;
    assert_eq!(read_message(&mut responses).await, grant(1));
}

#[tokio::test]
async fn a_connection_that_is_not_answered_is_replaced_by_a_fresh_one() {
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    let controller = listener.local_addr().expect("it is bound");
    let (follower, mut events) = follower().await;
    follower.send(controller, renewal(1));
    let mut old_connection = accept(&listener).await;
    assert_eq!(read_message(&mut old_connection).await, renewal(1));
    write_message(&mut old_connection, grant(1)).await;
    assert_eq!(next_message(&mut events).await, grant(1));
    // The peer loses power: it sends no more responses on the connection, and does not reset it.
    let mut number = 1;
    let mut new_connection = loop {
        number += 1;
        assert!(number < 100, "it keeps sending on the dead connection");
        follower.send(controller, renewal(number));
        if let Ok(accepted) = timeout(REQUEST_INTERVAL, listener.accept()).await {
            break accepted.expect("it is accepted").0;
        }
    };
    follower.send(controller, renewal(1000));
    while read_message(&mut new_connection).await != renewal(1000) {}
    write_message(&mut new_connection, grant(1000)).await;
    assert_eq!(next_message(&mut events).await, grant(1000));
}

#[tokio::test]
async fn a_request_whose_connection_is_reset_is_repeated_on_a_fresh_one() {
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    let controller = listener.local_addr().expect("it is bound");
    let (follower, mut events) = follower().await;
    follower.send(controller, renewal(1));
    let mut old_connection = accept(&listener).await;
    assert_eq!(read_message(&mut old_connection).await, renewal(1));
    write_message(&mut old_connection, grant(1)).await;
    assert_eq!(next_message(&mut events).await, grant(1));
    follower.send(controller, renewal(2));
    assert_eq!(read_message(&mut old_connection).await, renewal(2));
    drop(old_connection);
    let mut new_connection = accept(&listener).await;
    assert_eq!(read_message(&mut new_connection).await, renewal(2));
    // If the peer resets the new connection as well, the port does not repeat the request: its process
    // may be down.
    drop(new_connection);
    let mut lost = 0;
    while lost < 2 {
        let event = timeout(TEST_TIMEOUT, events.recv()).await;
        let event = event
            .expect("an event occurs in time")
            .expect("the port is open");
        lost += u32::from(matches!(event, PortEvent::Lost { peer } if peer == controller));
    }
    let another_connection = timeout(REQUEST_INTERVAL, listener.accept()).await;
    assert!(another_connection.is_err(), "the request is repeated again");
}

#[tokio::test]
async fn a_peer_that_rejects_connections_is_reported_as_lost_at_once() {
    let (follower, mut events) = follower().await;
    let closed_address = free_address();
    follower.send(closed_address, renewal(1));
    let event = timeout(TEST_TIMEOUT, events.recv()).await;
    let event = event
        .expect("an event occurs in time")
        .expect("the port is open");
    assert!(matches!(event, PortEvent::Lost { peer } if peer == closed_address));
}
