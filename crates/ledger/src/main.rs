//! `ledger`: one of the core processes.

use ledger::prelude::*;
use toolroom::prelude::*;

const HELP: &str = "The core of caperworks: keeps the books, grants permits, does the duties, \
and answers operators over HTTP";
const NEEDS: [&str; 5] = ["control", "serving", "area", "seeds", "data"];

fn main() -> anyhow::Result<()> {
    let flags = read_flags(&place_flags().to_options().descr(HELP));
    let place = Place::read_or_end(&flags, &NEEDS);
    start_log()?;
    let reread: Reread = Arc::new(move || Place::read(&flags, &NEEDS).ok());
    run_daemon(
        place.terms.workers,
        ledger::daemon::run(place, reread, own_interface()),
    )
}
