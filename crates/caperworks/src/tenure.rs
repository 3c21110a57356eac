//! Tenure: which instance owns which slice of keyed data, and for how long it may act on it.
//!
//! A slice changes owner only once the old owner has said that it let go with nothing under way,
//! or its hold, as the grantor bounds it, has passed.

use crate::prelude::*;

/// How long a hold lives.
pub const HOLD_SPAN: Duration = Duration::from_millis(6000);
/// The longest that a hold of the keeper before may still live after a takeover: it may have gone
/// on granting until its own permit ended.
pub const KEEPER_WAIT: Duration = Duration::from_millis(9000);
/// How long after an instance said that it ends it has surely ended.
const ENDED_SURELY: Duration = Duration::from_millis(500);
/// How many slices may be on the move at once, per pool, when no owner was lost.
pub const MOVES_AT_ONCE: usize = 4;
/// An owner that does not take up a slice for this long is not offered it again.
const UPTAKE_SPAN: Duration = Duration::from_millis(2500);

/// The spans that a keeper goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperSpans {
    /// How long a hold lives, by the instance's count from when it sent its beat.
    pub hold: Duration,
    /// What a hold may last longer by the instance's own clock.
    pub drift: Duration,
    /// How long a new keeper waits before it moves what the one before may have granted.
    pub wait: Duration,
    /// How long one waits that had the duty in its own former life, which is surely over.
    pub wait_after_own: Duration,
    /// How long an owner may leave a slice that it was offered.
    pub uptake: Duration,
}

impl Default for KeeperSpans {
    fn default() -> Self {
        Self {
            hold: HOLD_SPAN,
            drift: Duration::ZERO,
            wait: KEEPER_WAIT,
            wait_after_own: KEEPER_WAIT,
            uptake: UPTAKE_SPAN,
        }
    }
}

messages! {
    struct HoldAnswer {
        0 slice: u32,
        1 epoch: Epoch,
        2 left: Duration,
        /// What the owner before handed on; for the one that takes the slice up.
        3 handover: Option<String>,
    }

    /// An epoch of a slice that an instance has let go of, for good; without an epoch the one that
    /// it held last. What it hands on is for the next owner.
    #[derive(Eq)]
    struct LetGo { 0 slice: u32, 1 epoch: Option<Epoch>, 2 handover: Option<String> }

    /// The answer to a beat: what the instance holds, and what it is to let go of.
    #[derive(Default)]
    struct BeatAnswer {
        0 holds: Vec<HoldAnswer>,
        1 release: Vec<HoldAnswer>,
        /// Whether the keeper itself answers, so that what is not named is not to be held.
        2 by_keeper: bool,
        /// The control address of the keeper, as far as it is known.
        3 keeper: Option<SocketAddr>,
        /// The highest epoch of the pool, which fences all that is held of it.
        4 fence: Epoch,
    }

    /// The answer as the instance gets it from whoever it beats at: with a stamp to give back with
    /// its next beat. `again` when the beat had none of ours, so that its age is not known.
    struct DatedAnswer {
        0 answer: BeatAnswer,
        1 stamp: Stamp,
        2 again: bool,
    }
}

/// The slice that a key falls into.
pub fn slice_of(key: &str, slices: u32) -> u32 {
    (steady_hash(key) % u64::from(slices.max(1))) as u32
}

#[derive(Debug, Clone, Default)]
struct SliceWatch {
    /// Until when the present owner may act, as we bound it.
    until: Duration,
    offered_since: Option<Duration>,
    taken_up: bool,
    releasing: bool,
    spurned: bool,
    released: bool,
    /// The latest beat of the owner that is known of.
    latest_beat: u64,
    /// The beat in whose answer the owner was first told to let go.
    release_told: Option<u64>,
    /// What the owner handed on when it let go.
    handover: Option<String>,
    epoch: Epoch,
}

impl SliceWatch {
    /// Whether the owner refuses this epoch for good, so that only a new one can bring it back.
    fn is_given_up(&self) -> bool {
        self.spurned || self.releasing
    }
}

/// The tenure keeper; one ledger has the duty.
#[derive(Debug, Clone, Default)]
pub struct Keeper {
    watches: BTreeMap<(PoolName, u32), SliceWatch>,
    /// Until when what keepers before us granted may live.
    granted_until: Duration,
    pub spans: KeeperSpans,
    /// Only for proving the observers: moves slices without waiting out a hold.
    pub hasty: bool,
    /// Only for proving the observers: takes a beat that does not hold a slice for its release.
    pub takes_silence: bool,
    /// Only for proving the observers: gives holds that are longer than may be.
    pub generous: bool,
}

/// What the keeper draws a plan from.
#[derive(Debug, Clone, Copy)]
pub struct TenureView<'view> {
    pub instances: &'view Instances,
    pub closed: &'view BTreeSet<Area>,
    pub tenure: &'view Book,
}

impl Keeper {
    /// Starts a term. Holds given by the keeper before may live until its wait is over; a shorter one
    /// is enough after our own former life.
    pub fn take_up(&mut self, now: Duration, after_own: bool) {
        self.watches.clear();
        let wait = match after_own {
            true => self.spans.wait_after_own,
            false => self.spans.wait,
        };
        self.granted_until = now + wait;
    }

    fn watch(&mut self, pool: &PoolName, slice: u32, epoch: Epoch) -> &mut SliceWatch {
        let bound = self.granted_until;
        let watch = self
            .watches
            .entry((pool.clone(), slice))
            .or_insert_with(|| SliceWatch {
                until: bound,
                epoch,
                ..SliceWatch::default()
            });
        if watch.epoch != epoch {
            *watch = SliceWatch {
                epoch,
                ..SliceWatch::default()
            };
        }
        watch
    }

    /// Renews the holds of an instance that beats.
    pub fn beat(&mut self, now: Duration, beat: &Beat, tenure: &Book) -> BeatAnswer {
        let mut answer = BeatAnswer {
            by_keeper: true,
            ..BeatAnswer::default()
        };
        let spans = self.spans;
        let span = spans.hold * if self.generous { 2 } else { 1 };
        let takes_silence = self.takes_silence;
        let Some(table) = tenure.slices(&beat.pool) else {
            return answer;
        };
        answer.fence = table.epoch;
        for (slice, owner) in table.owners.iter().enumerate() {
            let slice = slice as u32;
            let Some(owner) = owner
                .as_ref()
                .filter(|owner| owner.instance == beat.id && owner.incarnation == beat.incarnation)
            else {
                continue;
            };
            let holding = beat.holding.contains(&slice);
            let watch = self.watch(&beat.pool, slice, owner.epoch);
            watch.taken_up |= holding;
            watch.latest_beat = watch.latest_beat.max(beat.counter);
            if watch.releasing || watch.spurned {
                // Why by its word for this very epoch: a beat that left before the slice was taken
                // up does not hold it either, and it may come late.
                let told = watch.release_told;
                let given = beat.let_go.iter().find(|given| {
                    given.slice == slice
                        && match given.epoch {
                            Some(epoch) => epoch >= owner.epoch,
                            // Why only after it was told: it speaks of what it held last, and an
                            // earlier beat may speak of an earlier time.
                            None => told.is_some_and(|told| beat.counter > told),
                        }
                });
                let let_go = given.is_some() || takes_silence;
                if watch.releasing && let_go && !holding {
                    watch.released = true;
                    let handover = given.and_then(|given| given.handover.clone());
                    watch.handover = handover.or(watch.handover.take());
                }
                // Why only the latest: after one that was overtaken, another of before the release
                // would pass for the owner's word that it let go.
                if beat.counter == watch.latest_beat {
                    watch.release_told.get_or_insert(beat.counter);
                }
                answer.release.push(HoldAnswer {
                    slice,
                    epoch: owner.epoch,
                    left: Duration::ZERO,
                    handover: None,
                });
                continue;
            }
            let offered = *watch.offered_since.get_or_insert(now);
            if !holding && now.saturating_sub(offered) >= spans.uptake {
                // Why stop: it let go under a keeper before us and refuses this epoch for good;
                // once its hold has surely passed the slice is given out under a new one.
                watch.spurned = true;
                continue;
            }
            watch.until = watch.until.max(now + span + spans.drift);
            answer.holds.push(HoldAnswer {
                slice,
                epoch: owner.epoch,
                left: span,
                handover: owner.handover.clone().filter(|_| !holding),
            });
        }
        answer
    }

    /// Says the next table of a pool, if any slice is to change hands now.
    pub fn plan(
        &mut self,
        now: Duration,
        epoch: Epoch,
        name: &PoolName,
        pool: &Pool,
        view: &TenureView<'_>,
    ) -> Option<SliceTable> {
        let TenureView {
            instances,
            closed,
            tenure,
        } = *view;
        let wanted = pool.slices as usize;
        let mut table = tenure.slices(name).cloned().unwrap_or(SliceTable {
            epoch,
            owners: vec![None; wanted],
        });
        if table.owners.len() != wanted {
            // Why refuse: another count of slices maps keys anew, which two owners could not
            // agree on while holds live; the count is settled when a pool is made.
            return None;
        }
        let able: Vec<&Beat> = instances
            .iter()
            .filter(|beat| beat.pool == *name && !closed.contains(&beat.area))
            .filter(|beat| beat.state != InstanceState::Leaving)
            .collect();
        let targets = targets(name, &table.owners, &able, pool.warm_span);
        let mut changed = false;
        let mut moving = self
            .watches
            .iter()
            .filter(|((pool, _), watch)| pool == name && watch.releasing && !watch.released)
            .count();
        let mut next_epoch = table
            .owners
            .iter()
            .flatten()
            .map(|owner| owner.epoch)
            .max()
            .unwrap_or_default()
            .max(Epoch(table.epoch.0));
        let hasty = self.hasty;
        for slice in 0..wanted {
            let target = targets.get(slice).copied().flatten();
            let owner = table.owners[slice].clone();
            let free = match &owner {
                None => true,
                Some(owner) => {
                    let alive = instances.get(&owner.instance).is_some_and(|beat| {
                        beat.incarnation == owner.incarnation
                            && beat.pool == *name
                            && beat.state != InstanceState::Leaving
                            && !closed.contains(&beat.area)
                    });
                    let elsewhere = target.is_some_and(|target| target.id != owner.instance);
                    let watch = self.watch(name, slice as u32, owner.epoch);
                    if !watch.releasing && elsewhere && (!alive || moving < MOVES_AT_ONCE) {
                        watch.releasing = true;
                        // Why here as well: a new keeper may know of beats that others heard.
                        let known = instances.get(&owner.instance);
                        let counter = known.map_or(0, |beat| beat.counter);
                        watch.latest_beat = watch.latest_beat.max(counter);
                        moving += usize::from(alive);
                    }
                    // Why not waited for: it said itself that it ended, and what ended holds nothing.
                    let ended = instances.ended_for(now, &owner.instance) >= ENDED_SURELY;
                    let passed = now >= watch.until || hasty || ended;
                    let held_by_none = watch.spurned && passed;
                    (watch.releasing && (watch.released || passed))
                        || held_by_none
                        || (!alive && passed)
                }
            };
            if !free {
                continue;
            }
            let next = target.map(|target| (target.id.clone(), target.incarnation));
            let same = match (&owner, &next) {
                (None, None) => true,
                (Some(owner), Some((id, incarnation))) => {
                    owner.instance == *id
                        && owner.incarnation == *incarnation
                        && !self.watch(name, slice as u32, owner.epoch).is_given_up()
                }
                _ => false,
            };
            if same {
                continue;
            }
            next_epoch = next_epoch.next();
            let handover = owner.as_ref().and_then(|owner| {
                let watch = self.watch(name, slice as u32, owner.epoch);
                watch.handover.take()
            });
            table.owners[slice] = next.map(|(instance, incarnation)| SliceOwner {
                instance,
                incarnation,
                epoch: next_epoch,
                handover,
            });
            changed = true;
        }
        // Why kept in the table: an epoch must grow even when the slice had no owner between.
        table.epoch = next_epoch.max(table.epoch);
        changed.then_some(table)
    }
}

/// Rendezvous hashing with a bound on how many slices one instance may get.
///
/// Why a cold instance keeps what it has but gets nothing new while a warm one has room: the
/// first to be warm after a restart of all must not draw every slice to itself.
fn targets<'beats>(
    name: &PoolName,
    owners: &[Option<SliceOwner>],
    hosts: &[&'beats Beat],
    warm_span: Duration,
) -> Vec<Option<&'beats Beat>> {
    let slices = owners.len();
    if hosts.is_empty() {
        return vec![None; slices];
    }
    let most = (slices * 5).div_ceil(hosts.len() * 4).max(1);
    let mut given: BTreeMap<&InstanceId, usize> = BTreeMap::new();
    (0..slices)
        .map(|slice| {
            let mut ranked: Vec<(bool, Reverse<u64>, &'beats Beat)> = hosts
                .iter()
                .filter(|beat| given.get(&beat.id).copied().unwrap_or(0) < most)
                .map(|beat| {
                    let owns = owners[slice].as_ref().is_some_and(|owner| {
                        owner.instance == beat.id && owner.incarnation == beat.incarnation
                    });
                    let shy = beat.is_cold(warm_span) && !owns;
                    let hash = steady_hash(&format!("{name} {slice} {}", beat.id));
                    (shy, Reverse(hash), *beat)
                })
                .collect();
            ranked.sort_by_key(|(shy, hash, _)| (*shy, *hash));
            let (_, _, pick) = ranked.first()?;
            *given.entry(&pick.id).or_default() += 1;
            Some(*pick)
        })
        .collect()
}

/// The instance's side: what it holds, and what it refuses for good.
#[derive(Debug, Clone, Default)]
pub struct Holdings {
    held: BTreeMap<u32, (Epoch, Duration)>,
    given_up: BTreeMap<u32, Epoch>,
    under_way: BTreeMap<u32, u32>,
}

impl Holdings {
    /// Takes the answer to a beat that was sent at `sent_at`.
    pub fn answered(&mut self, sent_at: Duration, answer: &BeatAnswer) {
        for hold in &answer.holds {
            let given_up = self.given_up.get(&hold.slice).copied().unwrap_or_default();
            if hold.epoch <= given_up {
                continue;
            }
            let span = hold.left.saturating_sub(DRIFT_MARGIN);
            let entry = self
                .held
                .entry(hold.slice)
                .or_insert((hold.epoch, Duration::ZERO));
            if hold.epoch > entry.0 {
                *entry = (hold.epoch, sent_at + span);
            } else if hold.epoch == entry.0 {
                entry.1 = entry.1.max(sent_at + span);
            }
        }
        for release in &answer.release {
            let given_up = self.given_up.entry(release.slice).or_default();
            *given_up = (*given_up).max(release.epoch);
        }
    }

    /// Whether an order under this epoch may start now and end within `need`, all under the hold.
    pub fn may_start(&self, now: Duration, slice: u32, epoch: Epoch, need: Duration) -> bool {
        let given_up = self.given_up.get(&slice).copied().unwrap_or_default();
        epoch > given_up
            && self
                .held
                .get(&slice)
                .is_some_and(|(held, until)| *held == epoch && now + need < *until)
    }

    /// The slices that may be worked on now, and how long the longest hold still lives.
    pub fn live(&self, now: Duration) -> (Vec<u32>, Duration) {
        let mut slices = Vec::new();
        let mut longest = Duration::ZERO;
        for (slice, (epoch, until)) in &self.held {
            if self.may_start(now, *slice, *epoch, Duration::ZERO) {
                slices.push(*slice);
                longest = longest.max(until.saturating_sub(now));
            }
        }
        (slices, longest)
    }

    pub fn started(&mut self, slice: u32) {
        *self.under_way.entry(slice).or_default() += 1;
    }

    pub fn ended(&mut self, slice: u32) {
        if let Some(count) = self.under_way.get_mut(&slice) {
            *count = count.saturating_sub(1);
        }
    }

    /// What the next beat says was let go of.
    pub fn let_go(&self) -> Vec<LetGo> {
        self.given_up
            .iter()
            .map(|(slice, epoch)| LetGo {
                slice: *slice,
                epoch: Some(*epoch),
                handover: None,
            })
            .collect()
    }

    /// What the next beat says is held: live holds not given up, and all with work under way.
    pub fn holding(&self, now: Duration) -> Vec<u32> {
        let mut slices: BTreeSet<u32> = self
            .held
            .iter()
            .filter(|(slice, (epoch, until))| {
                now < *until && *epoch > self.given_up.get(slice).copied().unwrap_or_default()
            })
            .map(|(slice, _)| *slice)
            .collect();
        slices.extend(
            self.under_way
                .iter()
                .filter(|(_, count)| **count > 0)
                .map(|(slice, _)| *slice),
        );
        slices.into_iter().collect()
    }
}
