//! Catch-up: how a replica that is behind gets what it lacks, without a storm.
//!
//! The receiver has at most one transfer under way per map, with one peer. It asks with
//! [`ConsensusMessage::CatchUp`] and gets either the changes it lacks, a bounded number at a time,
//! or a snapshot in pieces of at most [`PIECE_BYTES`], each asked for when the one before it has
//! come. A peer that stays silent is left for another; what has come so far is kept if the other
//! one has the same version. A snapshot replaces the map only when it is whole and its digest is
//! right. The sender encodes a map once and keeps at most one encoded snapshot per map.

use crate::prelude::*;

/// The most bytes of a snapshot in one message.
pub const PIECE_BYTES: usize = 64 * 1024;
/// How long a peer may take over an answer before another is asked; each silent span doubles it, so
/// that a way which is slow for all of them still brings pieces in time.
pub const PIECE_PATIENCE: Duration = Duration::from_millis(500);
/// The longest that a peer may take.
pub const MOST_PIECE_PATIENCE: Duration = Duration::from_secs(4);
/// How long an encoded snapshot is kept after it was last asked for.
pub const SNAPSHOT_IDLE_SPAN: Duration = Duration::from_secs(2);
/// The most weight of changes in one answer, by [`Change::weight`].
pub const ANSWER_WEIGHT: usize = 512;
/// How soon the same whole map is sent again to a follower that did not get it.
pub const WHOLE_MAP_PERIOD: Duration = Duration::from_secs(1);

/// Peers tell several times a second that they are ahead; a gap of this length means that none of
/// them was in touch.
const HINT_GAP: Duration = Duration::from_secs(1);
/// After so many silent spans in a row a transfer is given up; the next hint begins another.
const MOST_SILENT_SPANS: u32 = 8;
/// The most peers that are remembered as able to send a map.
const MOST_SOURCES: usize = 8;

messages! {
    /// Where a transfer stands, as the receiver tells it to the sender.
    #[derive(Copy, Eq)]
    struct TransferPosition {
        /// Drawn anew for each peer that is asked; pieces of earlier ones are refused.
        0 transfer: u64,
        /// The version of the snapshot that is being received; zero when none is.
        1 version: Version,
        2 offset: u64,
    }

    /// A part of one version of one encoded map.
    #[derive(Eq)]
    struct SnapshotPiece {
        0 map: MapName,
        1 version: Version,
        2 transfer: u64,
        3 offset: u64,
        4 total: u64,
        /// The digest of the whole encoded map.
        5 digest: u64,
        #[cbor(with = "minicbor::bytes")]
        6 bytes: Vec<u8>,
    }
}

/// A question for one peer.
#[derive(Debug, Clone, PartialEq)]
pub struct CatchUpRequest {
    pub to: SocketAddr,
    pub map: MapName,
    pub after: Version,
    pub position: TransferPosition,
}

impl CatchUpRequest {
    /// The message that asks it.
    pub fn message(&self) -> ConsensusMessage {
        ConsensusMessage::CatchUp {
            map: self.map,
            after: self.after,
            position: Some(self.position),
        }
    }
}

/// Why a piece was refused. Nothing of a refused piece is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceRefusal {
    /// No transfer of this map is under way.
    NotAskedFor,
    /// It belongs to another transfer, mostly an earlier one.
    OtherTransfer,
    /// Another peer than the one that was asked sent it.
    OtherPeer,
    /// It is of a version that is held already, or earlier than the one that is being received.
    OlderVersion,
    /// It was received before.
    Doubled,
    /// What lies before it has not come.
    AfterGap,
    /// It is shorter or longer than a piece at its place.
    WrongLength,
    /// The whole would be larger than a slot.
    TooLarge,
    /// Its total or its digest are not those of the pieces before it.
    OtherSnapshot,
    /// All is there, but the digest is another.
    WrongDigest,
    /// The digest is right, but the bytes are no map of this version.
    Unreadable,
}

impl fmt::Display for PieceRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PieceRefusal::NotAskedFor => "no transfer of this map is under way",
            PieceRefusal::OtherTransfer => "it belongs to another transfer",
            PieceRefusal::OtherPeer => "another peer was asked",
            PieceRefusal::OlderVersion => "it is of an older version",
            PieceRefusal::Doubled => "it was received before",
            PieceRefusal::AfterGap => "what lies before it has not come",
            PieceRefusal::WrongLength => "it has not the length of a piece at its place",
            PieceRefusal::TooLarge => "the snapshot does not fit a slot",
            PieceRefusal::OtherSnapshot => "it is not of the snapshot that was begun",
            PieceRefusal::WrongDigest => "the whole has another digest",
            PieceRefusal::Unreadable => "the whole is no map of its version",
        })
    }
}

/// What follows from a piece.
#[derive(Debug, Clone, PartialEq)]
pub enum PieceOutcome {
    /// More is to come: the question for it.
    Next(CatchUpRequest),
    /// The snapshot is whole and its digest is right.
    Whole(ReplicatedMap),
    Refused(PieceRefusal),
}

/// The deliberately broken variants of the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BrokenCatchUp {
    #[default]
    Nothing,
    /// The digest of the whole is not looked at.
    SkipsDigest,
}

/// What has come of a snapshot.
#[derive(Debug, Clone)]
struct PartialSnapshot {
    version: Version,
    total: u64,
    digest: u64,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone)]
struct Transfer {
    number: u64,
    peer: SocketAddr,
    /// The version that peers are known to have.
    goal: Version,
    asked_at: Duration,
    patience: Duration,
    hinted_at: Duration,
    silent_spans: u32,
    sources: Vec<SocketAddr>,
    /// Whether the peer has sent a piece under this number.
    peer_began: bool,
    partial: Option<PartialSnapshot>,
}

impl Transfer {
    fn request(&self, map: MapName, after: Version) -> CatchUpRequest {
        let partial = self.partial.as_ref();
        CatchUpRequest {
            to: self.peer,
            map,
            after,
            position: TransferPosition {
                transfer: self.number,
                version: partial.map_or(Version(0), |partial| partial.version),
                offset: partial.map_or(0, |partial| partial.bytes.len() as u64),
            },
        }
    }

    fn add_source(&mut self, peer: SocketAddr) {
        if !self.sources.contains(&peer) && self.sources.len() < MOST_SOURCES {
            self.sources.push(peer);
        }
    }

    fn turn_to_next_source(&mut self) {
        let place = self.sources.iter().position(|source| *source == self.peer);
        let next = place.map_or(0, |place| place + 1) % self.sources.len().max(1);
        self.peer = self.sources.get(next).copied().unwrap_or(self.peer);
        self.peer_began = false;
    }

    /// Whether a piece may come next, given what has come so far.
    fn check(
        &self,
        from: SocketAddr,
        held: Version,
        piece: &SnapshotPiece,
    ) -> Result<(), PieceRefusal> {
        if piece.transfer != self.number {
            return Err(PieceRefusal::OtherTransfer);
        }
        if from != self.peer {
            return Err(PieceRefusal::OtherPeer);
        }
        if piece.version <= held {
            return Err(PieceRefusal::OlderVersion);
        }
        let left = piece.total.saturating_sub(piece.offset);
        if piece.bytes.is_empty() || piece.bytes.len() as u64 != left.min(PIECE_BYTES as u64) {
            return Err(PieceRefusal::WrongLength);
        }
        let Some(partial) = &self.partial else {
            let first = piece.offset == 0;
            return first.then_some(()).ok_or(PieceRefusal::AfterGap);
        };
        let same = piece.version == partial.version;
        if !same && piece.offset == 0 && (!self.peer_began || piece.version > partial.version) {
            // The sender no longer has, or never had, the version that was begun: a new beginning.
            return Ok(());
        }
        if piece.version < partial.version {
            return Err(PieceRefusal::OlderVersion);
        }
        if !same || (piece.total, piece.digest) != (partial.total, partial.digest) {
            return Err(PieceRefusal::OtherSnapshot);
        }
        match piece.offset.cmp(&(partial.bytes.len() as u64)) {
            std::cmp::Ordering::Less => Err(PieceRefusal::Doubled),
            std::cmp::Ordering::Greater => Err(PieceRefusal::AfterGap),
            std::cmp::Ordering::Equal => Ok(()),
        }
    }

    /// Adds a piece that was checked; gives the whole once nothing is missing.
    fn add(&mut self, piece: SnapshotPiece) -> Option<PartialSnapshot> {
        self.peer_began = true;
        self.silent_spans = 0;
        if piece.offset == 0 {
            self.partial = Some(PartialSnapshot {
                version: piece.version,
                total: piece.total,
                digest: piece.digest,
                bytes: Vec::new(),
            });
        }
        let partial = self.partial.as_mut()?;
        partial.bytes.extend(piece.bytes);
        if (partial.bytes.len() as u64) < partial.total {
            return None;
        }
        self.partial.take()
    }
}

/// The receiver's side: at most one transfer per map.
#[derive(Debug, Clone)]
pub struct CatchUpReceiver {
    transfers: BTreeMap<MapName, Transfer>,
    last_number: u64,
    most_bytes: u64,
    pub broken: BrokenCatchUp,
}

impl CatchUpReceiver {
    /// `first_number` tells this life's transfers from those of an earlier life; a snapshot of more
    /// than `most_bytes` is refused.
    pub fn new(first_number: u64, most_bytes: u64) -> Self {
        Self {
            transfers: BTreeMap::new(),
            last_number: first_number >> 1,
            most_bytes,
            broken: BrokenCatchUp::Nothing,
        }
    }

    /// Whether a transfer of this map is under way.
    pub fn is_receiving(&self, map: MapName) -> bool {
        self.transfers.contains_key(&map)
    }

    /// The bytes of unfinished snapshots that are held.
    pub fn held_bytes(&self) -> usize {
        let partials = self
            .transfers
            .values()
            .filter_map(|transfer| transfer.partial.as_ref());
        partials.map(|partial| partial.bytes.len()).sum()
    }

    fn draw_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A peer is known to have `goal` of a map of which `held` is held here.
    pub fn behind(
        &mut self,
        now: Duration,
        map: MapName,
        held: Version,
        peer: SocketAddr,
        goal: Version,
    ) -> Option<CatchUpRequest> {
        if let Some(transfer) = self.transfers.get_mut(&map) {
            transfer.add_source(peer);
            transfer.goal = transfer.goal.max(goal);
            // Why: a cut is over, and what was learned of its silence says nothing of the ways.
            if now.saturating_sub(transfer.hinted_at) >= HINT_GAP {
                transfer.patience = PIECE_PATIENCE;
            }
            transfer.hinted_at = now;
            return None;
        }
        let transfer = Transfer {
            number: self.draw_number(),
            peer,
            goal,
            asked_at: now,
            patience: PIECE_PATIENCE,
            hinted_at: now,
            silent_spans: 0,
            sources: vec![peer],
            peer_began: false,
            partial: None,
        };
        let request = transfer.request(map, held);
        self.transfers.insert(map, transfer);
        Some(request)
    }

    /// Asks other peers where the ones that were asked stay silent.
    pub fn tick(
        &mut self,
        now: Duration,
        held: impl Fn(MapName) -> Version,
    ) -> Vec<CatchUpRequest> {
        let mut requests = Vec::new();
        for map in ALL_MAPS {
            let is_due =
                |transfer: &Transfer| now.saturating_sub(transfer.asked_at) >= transfer.patience;
            if !self.transfers.get(&map).is_some_and(is_due) {
                continue;
            }
            let number = self.draw_number();
            let Some(transfer) = self.transfers.get_mut(&map) else {
                continue;
            };
            transfer.silent_spans += 1;
            if transfer.silent_spans >= MOST_SILENT_SPANS {
                self.transfers.remove(&map);
                continue;
            }
            transfer.number = number;
            transfer.asked_at = now;
            transfer.patience = (transfer.patience * 2).min(MOST_PIECE_PATIENCE);
            transfer.turn_to_next_source();
            requests.push(transfer.request(map, held(map)));
        }
        requests
    }

    /// Takes a piece in, or refuses it whole.
    pub fn hear_piece(
        &mut self,
        now: Duration,
        from: SocketAddr,
        held: Version,
        piece: SnapshotPiece,
    ) -> PieceOutcome {
        let map = piece.map;
        let Some(transfer) = self.transfers.get_mut(&map) else {
            return PieceOutcome::Refused(PieceRefusal::NotAskedFor);
        };
        if let Err(refusal) = transfer.check(from, held, &piece) {
            return PieceOutcome::Refused(refusal);
        }
        if piece.total > self.most_bytes {
            return PieceOutcome::Refused(PieceRefusal::TooLarge);
        }
        transfer.asked_at = now;
        let Some(whole) = transfer.add(piece) else {
            return PieceOutcome::Next(transfer.request(map, held));
        };
        let is_right = content_digest(&whole.bytes) == whole.digest;
        if !is_right && self.broken != BrokenCatchUp::SkipsDigest {
            return PieceOutcome::Refused(PieceRefusal::WrongDigest);
        }
        match minicbor::decode::<ReplicatedMap>(&whole.bytes) {
            Ok(decoded) if decoded.version == whole.version => PieceOutcome::Whole(decoded),
            _ => PieceOutcome::Refused(PieceRefusal::Unreadable),
        }
    }

    /// The peer answered with changes, or with nothing; `held` is what is held now.
    ///
    /// Goes on at once where more is known to be missing.
    pub fn hear_changes(
        &mut self,
        now: Duration,
        map: MapName,
        held: Version,
        moved: bool,
    ) -> Option<CatchUpRequest> {
        let transfer = self.transfers.get_mut(&map)?;
        let overtaken = transfer
            .partial
            .as_ref()
            .is_none_or(|partial| partial.version <= held);
        if !overtaken {
            return None;
        }
        if !moved || held >= transfer.goal {
            self.transfers.remove(&map);
            return None;
        }
        transfer.partial = None;
        transfer.asked_at = now;
        transfer.silent_spans = 0;
        Some(transfer.request(map, held))
    }
}

#[derive(Debug, Clone)]
struct EncodedSnapshot {
    version: Version,
    digest: u64,
    bytes: Vec<u8>,
    used_at: Duration,
}

/// The sender's side: at most one encoded snapshot per map, shared by all that ask.
#[derive(Debug, Clone, Default)]
pub struct SnapshotSender {
    snapshots: BTreeMap<MapName, EncodedSnapshot>,
    encodings: u64,
}

impl SnapshotSender {
    /// How many times a map was encoded.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }

    /// The bytes of encoded snapshots that are held.
    pub fn held_bytes(&self) -> usize {
        self.snapshots
            .values()
            .map(|snapshot| snapshot.bytes.len())
            .sum()
    }

    /// Drops the snapshots that nobody has asked for of late.
    pub fn tick(&mut self, now: Duration) {
        self.snapshots
            .retain(|_, snapshot| now.saturating_sub(snapshot.used_at) < SNAPSHOT_IDLE_SPAN);
    }

    /// Answers a peer that holds `after`: with changes where they reach back so far, or a piece.
    pub fn answer(
        &mut self,
        now: Duration,
        voter: &Voter,
        map: MapName,
        after: Version,
        position: TransferPosition,
    ) -> ConsensusMessage {
        let held = voter.map(map);
        if after >= held.version {
            // Why answered: the peer is to end its transfer, and not to wait for us.
            let changes = Vec::new();
            return ConsensusMessage::News { map, changes };
        }
        match voter.history(map).changes_after(after) {
            Some(changes) => ConsensusMessage::News {
                map,
                changes: first_changes(changes),
            },
            None => ConsensusMessage::Piece {
                piece: self.piece(now, map, held, after, position),
            },
        }
    }

    fn piece(
        &mut self,
        now: Duration,
        name: MapName,
        map: &ReplicatedMap,
        after: Version,
        position: TransferPosition,
    ) -> SnapshotPiece {
        // Why an earlier version too: a map that moves on during every transfer would otherwise
        // be encoded for every piece, and no transfer would end.
        let is_of_use = |snapshot: &EncodedSnapshot| snapshot.version > after;
        if !self.snapshots.get(&name).is_some_and(is_of_use) {
            // Why an invariant: encoding into memory cannot fail for these types.
            let bytes = minicbor::to_vec(map).expect("a map encodes");
            self.encodings += 1;
            let snapshot = EncodedSnapshot {
                version: map.version,
                digest: content_digest(&bytes),
                bytes,
                used_at: now,
            };
            self.snapshots.insert(name, snapshot);
        }
        let snapshot = self
            .snapshots
            .get_mut(&name)
            .expect("it was just put there");
        snapshot.used_at = now;
        let total = snapshot.bytes.len();
        let asked = position.offset as usize;
        let resumes = position.version == snapshot.version && asked < total;
        let offset = if resumes { asked } else { 0 };
        let end = total.min(offset + PIECE_BYTES);
        SnapshotPiece {
            map: name,
            version: snapshot.version,
            transfer: position.transfer,
            offset: offset as u64,
            total: total as u64,
            digest: snapshot.digest,
            bytes: snapshot.bytes[offset..end].to_vec(),
        }
    }
}

/// As many of the changes, from the first on, as one answer may hold; at least one.
fn first_changes(mut changes: Vec<NumberedChange>) -> Vec<NumberedChange> {
    let mut weight = 0;
    let fitting = changes.iter().take_while(|numbered| {
        weight += numbered.change.weight();
        weight <= ANSWER_WEIGHT
    });
    let count = fitting.count().max(1);
    changes.truncate(count);
    changes
}

/// Bounds how often the same follower is sent a whole map in one message.
#[derive(Debug, Clone, Default)]
pub struct WholeMapLimit {
    sent: BTreeMap<(SocketAddr, MapName), (Version, Duration)>,
}

impl WholeMapLimit {
    /// Whether this news may leave for this follower now.
    ///
    /// Why bounded: a follower asks again several times a second while the map is under way.
    pub fn admits(&mut self, now: Duration, to: SocketAddr, news: &ConsensusMessage) -> bool {
        let ConsensusMessage::Whole { map, whole } = news else {
            return true;
        };
        self.sent
            .retain(|_, (_, sent_at)| now.saturating_sub(*sent_at) < WHOLE_MAP_PERIOD);
        if self.sent.contains_key(&(to, *map)) {
            return false;
        }
        self.sent.insert((to, *map), (whole.version, now));
        true
    }
}
