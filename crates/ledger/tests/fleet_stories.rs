//! Stories of whole ledgers in memory: disks that are lost, founding, beats and instances' ends.

use ledger::prelude::*;

const STEP: Duration = Duration::from_millis(25);

struct Place {
    machine: Option<LedgerMachine>,
    image: DiskImage,
    /// Writes are taken in and never carried out.
    disk_hangs: bool,
    core: CorePolicy,
}

/// Ledgers in one process: messages are carried by hand, writes are synced at once.
struct Fleet {
    places: Vec<Place>,
    now: Duration,
    wire: VecDeque<(SocketAddr, Envelope)>,
    /// Places that nothing comes to and nothing leaves.
    cut: BTreeSet<usize>,
    answers: BTreeMap<u64, OperatorAnswer>,
    founded: u32,
    seeds_drawn: u64,
    tickets: u64,
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + place as u16))
}

fn policy() -> CorePolicy {
    CorePolicy {
        proxies_serve_on: true,
        synced_ledgers: Some(2),
        ledger_seats: 3,
        witness_seats: 0,
        stamped_beats: false,
        ..CorePolicy::default()
    }
}

fn lay(image: &mut DiskImage, write: &DiskWrite) {
    let (part, offset, bytes) = match write {
        DiskWrite::Slot { second, bytes } => (&mut image.slots[usize::from(*second)], 0, bytes),
        DiskWrite::Log { offset, bytes } => (&mut image.log, *offset as usize, bytes),
    };
    let end = offset + bytes.len();
    if part.len() < end {
        part.resize(end, 0);
    }
    part[offset..end].copy_from_slice(bytes);
}

impl Fleet {
    fn new(policies: [CorePolicy; 3], seed: u64) -> Self {
        let mut fleet = Self {
            places: Vec::new(),
            now: Duration::ZERO,
            wire: VecDeque::new(),
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            founded: 0,
            seeds_drawn: seed * 1000,
            tickets: 0,
        };
        for (place, core) in policies.into_iter().enumerate() {
            fleet.places.push(Place {
                machine: None,
                image: DiskImage::default(),
                disk_hangs: false,
                core,
            });
            fleet.starts(place);
        }
        fleet
    }

    /// A fleet that founded itself and vouches for what it knows.
    fn founded(seed: u64) -> Self {
        let mut fleet = Self::new([policy(), policy(), policy()], seed);
        fleet.runs(Duration::from_secs(8));
        assert_eq!(fleet.founded, 1);
        fleet
    }

    /// Starts from what lies on the place's disk.
    fn starts(&mut self, place: usize) {
        self.seeds_drawn += 1;
        let seeds = (0..3).map(address).collect();
        let zone = Area::new(format!("zone-{place}"));
        let options = LedgerOptions::new(address(place), zone, seeds)
            .disk_room(1 << 20, 1 << 16)
            .core(self.places[place].core.clone());
        let image = self.places[place].image.clone();
        let (machine, outputs) = LedgerMachine::start(options, &image, self.seeds_drawn);
        self.places[place].machine = Some(machine);
        self.acts(place, outputs);
    }

    /// Power is lost; with the disk or without it.
    fn stops(&mut self, place: usize, wiped: bool) {
        self.places[place].machine = None;
        if wiped {
            self.places[place].image = DiskImage::default();
            // Why: only the very first start may found.
            self.places[place].core.may_found = false;
        }
    }

    fn acts(&mut self, place: usize, outputs: Vec<LedgerOutput>) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                LedgerOutput::Send { to, message } => {
                    let machine = self.places[place].machine.as_ref().expect("it runs");
                    self.wire.push_back((to, machine.seal(to, message)));
                }
                LedgerOutput::Write { ticket, writes } => {
                    if self.places[place].disk_hangs {
                        continue;
                    }
                    for write in &writes {
                        lay(&mut self.places[place].image, write);
                    }
                    outputs.extend(self.takes(place, LedgerInput::Synced { ticket }));
                }
                LedgerOutput::Answer { ticket, answer } => {
                    self.answers.insert(ticket, answer);
                }
                LedgerOutput::Note { event } => {
                    self.founded += u32::from(event == Event::Founded);
                }
                LedgerOutput::Stopped => {}
            }
        }
    }

    fn takes(&mut self, place: usize, input: LedgerInput) -> Vec<LedgerOutput> {
        let now = self.now;
        let machine = self.places[place].machine.as_mut();
        machine.map_or_else(Vec::new, |machine| machine.input(now, input))
    }

    fn inputs(&mut self, place: usize, input: LedgerInput) {
        let outputs = self.takes(place, input);
        self.acts(place, outputs);
        self.carries();
    }

    fn carries(&mut self) {
        while let Some((to, envelope)) = self.wire.pop_front() {
            let place = (0..3).find(|place| address(*place) == to);
            let from = (0..3).find(|place| address(*place) == envelope.reply_to);
            let Some(place) = place else {
                continue;
            };
            let own = from == Some(place);
            let is_cut =
                self.cut.contains(&place) || from.is_some_and(|from| self.cut.contains(&from));
            if is_cut && !own {
                continue;
            }
            let outputs = self.takes(place, LedgerInput::Heard { envelope });
            self.acts(place, outputs);
        }
    }

    fn runs(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for place in 0..3 {
                self.inputs(place, LedgerInput::Tick);
            }
        }
    }

    fn calls(&mut self, place: usize, call: OperatorCall) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        self.inputs(place, LedgerInput::Operator { ticket, call });
        ticket
    }

    fn verdict(&self, ticket: u64) -> Option<&Verdict> {
        match self.answers.get(&ticket)? {
            OperatorAnswer::Verdict { verdict } => Some(verdict),
            other => panic!("{other:?} is no verdict"),
        }
    }

    fn reads(&mut self, place: usize) -> OperatorAnswer {
        let ticket = self.calls(place, OperatorCall::Read);
        self.answers[&ticket].clone()
    }

    fn instances(&mut self, place: usize) -> Vec<String> {
        let ticket = self.calls(place, OperatorCall::Status);
        match &self.answers[&ticket] {
            OperatorAnswer::Status { status } => status
                .instances
                .iter()
                .map(|beat| beat.id.to_string())
                .collect(),
            other => panic!("{other:?} is no status"),
        }
    }

    fn beats(&mut self, place: usize, beat: Beat) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let echo = None;
        self.inputs(place, LedgerInput::Beat { ticket, beat, echo });
        ticket
    }

    fn beat_answer(&self, ticket: u64) -> Option<&BeatAnswer> {
        match self.answers.get(&ticket)? {
            OperatorAnswer::Beat { answer } => Some(&answer.answer),
            other => panic!("{other:?} is no answer to a beat"),
        }
    }

    fn keeper(&self) -> usize {
        let board = &self.places[0].machine.as_ref().expect("it runs").board;
        let keeper = duties::keeper_address(board).expect("someone has the duty");
        (0..3)
            .find(|place| address(*place) == keeper)
            .expect("it is one of us")
    }
}

fn pool_put(name: &str, version: u64, value: Option<Pool>) -> Put {
    Put {
        key: format!("pool/{name}"),
        expected: None,
        value: value.map(|pool| Value::Pool { pool }),
        written: Some(Written {
            version,
            text: String::new(),
        }),
    }
}

fn pool() -> Pool {
    Pool {
        keyed: true,
        slices: 8,
        instance_cap: 4,
        key_cap: 4,
        cold_rate_milli: u32::MAX,
        key_space: KeySpace::Ranges,
        ..Pool::default()
    }
}

fn apply(id: &str, puts: Vec<Put>) -> OperatorCall {
    let change = Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    };
    OperatorCall::Apply { change }
}

fn beat(id: &str, counter: u64) -> Beat {
    Beat {
        id: InstanceId::new(id),
        incarnation: Incarnation(0),
        counter,
        pool: PoolName::new("records"),
        area: Area::new("zone-0"),
        address: SocketAddr::from(([127, 0, 0, 2], 8000)),
        capacity: 4,
        state: InstanceState::Serving,
        load: 0,
        up: Duration::MAX,
        holding: Vec::new(),
        let_go: Vec::new(),
        cold_left: Duration::ZERO,
    }
}

#[test]
fn given_a_yes_of_two_disks_when_one_is_wiped_and_the_other_restarts_then_the_change_is_there() {
    for answering in 0..3 {
        for absent in (0..3).filter(|absent| *absent != answering) {
            let mut fleet = Fleet::founded(1 + answering as u64 * 3 + absent as u64);
            fleet.cut.insert(absent);
            let call = apply("call-1", vec![pool_put("records", 3, Some(pool()))]);
            let ticket = fleet.calls(answering, call);
            fleet.runs(Duration::from_millis(500));
            let verdict = fleet.verdict(ticket);
            assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
            // Right after the yes the one that gave it is lost for good, and all lose power.
            for place in 0..3 {
                fleet.stops(place, place == answering);
            }
            fleet.wire.clear();
            fleet.cut.clear();
            fleet.now += Duration::from_secs(1);
            for place in 0..3 {
                fleet.starts(place);
            }
            fleet.runs(Duration::from_secs(20));
            for place in 0..3 {
                match fleet.reads(place) {
                    OperatorAnswer::Standing { book } => {
                        let versions: Vec<(&String, u64)> = book
                            .items
                            .iter()
                            .filter_map(|(key, item)| Some((key, item.written.as_ref()?.version)))
                            .collect();
                        assert_eq!(versions, [(&"pool/records".to_string(), 3)]);
                    }
                    other => panic!("{answering} {absent}: ledger {place} says {other:?}"),
                }
            }
        }
    }
}

#[test]
fn given_one_disk_that_works_when_a_change_is_called_for_then_it_is_never_a_yes() {
    let mut fleet = Fleet::founded(40);
    for place in [1, 2] {
        fleet.places[place].disk_hangs = true;
    }
    let ticket = fleet.calls(
        0,
        apply("call-1", vec![pool_put("records", 1, Some(pool()))]),
    );
    for _ in 0..400 {
        fleet.runs(STEP * 4);
        let verdict = fleet.verdict(ticket);
        assert!(
            !matches!(verdict, Some(Verdict::Accepted(_) | Verdict::Repeat(_))),
            "{verdict:?}"
        );
    }
    assert!(fleet.verdict(ticket).is_some(), "and it is told so");
}

#[test]
fn given_empty_disks_when_no_process_may_found_then_nothing_is_ever_founded() {
    let never = CorePolicy {
        may_found: false,
        ..policy()
    };
    let mut fleet = Fleet::new([never.clone(), never.clone(), never], 50);
    fleet.runs(Duration::from_secs(60));
    assert_eq!(fleet.founded, 0);
    for place in 0..3 {
        assert_eq!(fleet.reads(place), OperatorAnswer::NotCurrent);
    }
    let ticket = fleet.calls(
        0,
        apply("call-1", vec![pool_put("records", 1, Some(pool()))]),
    );
    fleet.runs(Duration::from_secs(10));
    assert_eq!(fleet.verdict(ticket), Some(&Verdict::NoMajority));
}

#[test]
fn given_one_process_that_may_not_found_when_the_others_may_then_nothing_is_founded() {
    for wary in 0..3 {
        let mut policies = [policy(), policy(), policy()];
        policies[wary].may_found = false;
        let mut fleet = Fleet::new(policies, 60 + wary as u64);
        fleet.runs(Duration::from_secs(30));
        assert_eq!(fleet.founded, 0, "ledger {wary} may not");
    }
}

#[test]
fn given_all_disks_lost_when_all_start_again_then_no_second_beginning_is_made_up() {
    let mut fleet = Fleet::founded(70);
    for place in 0..3 {
        fleet.stops(place, true);
    }
    fleet.wire.clear();
    for place in 0..3 {
        fleet.starts(place);
    }
    fleet.runs(Duration::from_secs(30));
    assert_eq!(fleet.founded, 1);
    for place in 0..3 {
        assert_eq!(fleet.reads(place), OperatorAnswer::NotCurrent);
    }
}

#[test]
fn given_racing_calls_at_two_ledgers_when_both_end_then_both_are_yes_and_the_highest_stand() {
    let mut fleet = Fleet::founded(80);
    let limited = |limit: u32| {
        Some(Pool {
            instance_cap: limit,
            ..pool()
        })
    };
    let left = vec![pool_put("a", 2, limited(2)), pool_put("b", 1, limited(1))];
    let right = vec![pool_put("a", 1, limited(1)), pool_put("b", 2, None)];
    let tickets = [
        fleet.calls(1, apply("left", left)),
        fleet.calls(2, apply("right", right)),
    ];
    fleet.runs(Duration::from_secs(3));
    for ticket in tickets {
        let verdict = fleet.verdict(ticket);
        assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
    }
    for place in 0..3 {
        let OperatorAnswer::Standing { book } = fleet.reads(place) else {
            panic!("ledger {place} cannot vouch");
        };
        let caps: Vec<(String, u32)> = book
            .pools()
            .map(|(name, pool)| (name.to_string(), pool.instance_cap))
            .collect();
        assert_eq!(caps, [("a".to_string(), 2)]);
    }
}

#[test]
fn given_a_beat_at_any_ledger_when_its_pool_is_keyed_then_the_keepers_answer_comes_back() {
    let mut fleet = Fleet::founded(90);
    fleet.calls(
        0,
        apply("call-1", vec![pool_put("records", 1, Some(pool()))]),
    );
    fleet.runs(Duration::from_secs(2));
    let keeper = fleet.keeper();
    let other = (keeper + 1) % 3;
    let mut counter = 0;
    let mut answered = BeatAnswer::default();
    for _ in 0..6 {
        counter += 1;
        let ticket = fleet.beats(other, beat("one", counter));
        fleet.runs(Duration::from_millis(600));
        let answer = fleet.beat_answer(ticket).expect("it is answered");
        answered = answer.clone();
    }
    assert!(answered.by_keeper);
    assert_eq!(answered.keeper, Some(address(keeper)));
    let slices: Vec<u32> = answered.holds.iter().map(|hold| hold.slice).collect();
    assert_eq!(slices, (0..8).collect::<Vec<u32>>());
    // Without the keeper the beat is heard all the same, and nothing is said of what it holds.
    fleet.cut.insert(keeper);
    let ticket = fleet.beats(other, beat("one", counter + 1));
    assert_eq!(fleet.beat_answer(ticket), None, "it waits a while");
    fleet.runs(Duration::from_millis(600));
    let answer = fleet.beat_answer(ticket).expect("it is answered");
    assert!(!answer.by_keeper && answer.holds.is_empty() && answer.release.is_empty());
}

#[test]
fn given_an_instance_that_is_gone_when_a_late_beat_comes_anywhere_then_no_ledger_revives_it() {
    let mut fleet = Fleet::founded(100);
    fleet.beats(0, beat("one", 5));
    fleet.runs(Duration::from_millis(500));
    for place in 0..3 {
        assert_eq!(fleet.instances(place), ["one"], "ledger {place}");
    }
    fleet.tickets += 1;
    let (ticket, id) = (fleet.tickets, InstanceId::new("one"));
    fleet.inputs(1, LedgerInput::Gone { ticket, id });
    assert!(fleet.beat_answer(ticket).is_some(), "its word is taken");
    fleet.runs(Duration::from_millis(500));
    for place in 0..3 {
        fleet.beats(place, beat("one", 6 + place as u64));
        fleet.runs(Duration::from_millis(500));
        for seen in 0..3 {
            assert!(fleet.instances(seen).is_empty(), "{place} {seen}");
        }
    }
    // Another may live at its address at once.
    fleet.beats(2, beat("two", 1));
    fleet.runs(Duration::from_millis(500));
    assert_eq!(fleet.instances(0), ["two"]);
}

/// What instances beat and hold, each taking up what it is told to.
#[derive(Default)]
struct Holders {
    counter: u64,
    held: BTreeMap<&'static str, BTreeSet<u32>>,
}

impl Holders {
    fn beats(&mut self, fleet: &mut Fleet, place: usize, id: &'static str) -> BeatAnswer {
        self.counter += 1;
        let mut said = beat(id, self.counter);
        said.address.set_port(8000 + u16::from(id == "two"));
        let held = self.held.entry(id).or_default();
        said.holding = held.iter().copied().collect();
        let ticket = fleet.beats(place, said);
        let answer = fleet.beat_answer(ticket).expect("it is answered").clone();
        *held = answer.holds.iter().map(|hold| hold.slice).collect();
        answer
    }
}

/// A fleet whose keyed pool two instances share, and the place of the keeper.
fn shared_by_two(seed: u64) -> (Fleet, Holders, usize) {
    let mut fleet = Fleet::founded(seed);
    fleet.calls(
        0,
        apply("call-1", vec![pool_put("records", 1, Some(pool()))]),
    );
    fleet.runs(Duration::from_secs(2));
    let keeper = fleet.keeper();
    let mut holders = Holders::default();
    for _ in 0..40 {
        holders.beats(&mut fleet, (keeper + 1) % 3, "one");
        holders.beats(&mut fleet, (keeper + 1) % 3, "two");
        fleet.runs(Duration::from_millis(250));
    }
    let (one, two) = (&holders.held["one"], &holders.held["two"]);
    assert!(one.len() >= 3 && two.len() >= 3, "{one:?} {two:?}");
    assert_eq!(one.len() + two.len(), 8);
    (fleet, holders, keeper)
}

fn ends(fleet: &mut Fleet, place: usize, id: &str) {
    fleet.tickets += 1;
    let (ticket, id) = (fleet.tickets, InstanceId::new(id));
    fleet.inputs(place, LedgerInput::Gone { ticket, id });
}

#[test]
fn given_an_owner_that_ended_when_late_beats_of_it_come_then_nothing_is_prolonged_and_others_own() {
    // Whether the keeper hears it itself, or another ledger that tells it within a moment.
    for (told, moment) in [(0, Duration::ZERO), (1, Duration::from_millis(150))] {
        let (mut fleet, mut holders, keeper) = shared_by_two(120);
        let owned = holders.held["one"].clone();
        let ended = fleet.now;
        ends(&mut fleet, (keeper + told) % 3, "one");
        loop {
            fleet.runs(Duration::from_millis(50));
            let span = fleet.now - ended;
            assert!(span < Duration::from_secs(2), "its slices never moved");
            for place in (0..3).filter(|_| span > moment) {
                let late = holders.beats(&mut fleet, place, "one");
                let named = format!("{told} {place} after {span:?}: {late:?}");
                assert!(late.holds.is_empty(), "{named}");
                assert!(late.release.is_empty(), "{named}");
            }
            holders.beats(&mut fleet, (keeper + 1) % 3, "two");
            let two = &holders.held["two"];
            if !two.is_disjoint(&owned) {
                assert!(span >= Duration::from_millis(500), "moved after {span:?}");
                assert_eq!(*two, (0..8).collect());
                break;
            }
        }
    }
}

#[test]
fn given_an_owner_that_ended_when_its_late_beat_comes_in_the_same_instant_then_it_holds_nothing() {
    let (mut fleet, mut holders, keeper) = shared_by_two(130);
    ends(&mut fleet, keeper, "one");
    let late = holders.beats(&mut fleet, keeper, "one");
    assert!(late.holds.is_empty(), "{late:?}");
}

#[test]
fn given_a_ledger_about_to_stop_when_a_call_comes_then_it_sends_the_caller_elsewhere() {
    let mut fleet = Fleet::founded(110);
    fleet.inputs(0, LedgerInput::Stop);
    let ticket = fleet.calls(
        0,
        apply("call-1", vec![pool_put("records", 1, Some(pool()))]),
    );
    assert_eq!(fleet.answers[&ticket], OperatorAnswer::Leaving);
    fleet.runs(Duration::from_secs(1));
    let OperatorAnswer::Standing { book } = fleet.reads(1) else {
        panic!("the others go on");
    };
    assert_eq!(book.pools().count(), 0, "and nothing is in force");
}
