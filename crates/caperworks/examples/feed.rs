//! A follower that takes changes after a place, and a snapshot when it is too far behind.

use caperworks::prelude::*;

fn news(from: u64, to: u64) -> Vote {
    let changes = (from..=to)
        .map(|edition| NumberedChange {
            edition: Edition(edition),
            change: Change {
                id: ChangeId::new(format!("change-{edition}")),
                puts: Vec::new(),
                guards: Vec::new(),
            },
        })
        .collect();
    Vote::News {
        book: BookName::Standing,
        changes,
    }
}

fn main() {
    let mut shelf = Shelf::default();
    let last = HISTORY_WEIGHT as u64 + 100;
    for edition in 1..=last {
        shelf.take(&news(edition, edition));
    }
    let mut near = Follower::default();
    near.take(&news(1, last - 2));
    let (book, held) = (BookName::Standing, near.book(BookName::Standing).edition);
    let answer = shelf.news_after(book, held).expect("it is behind");
    assert!(matches!(answer, Vote::News { .. }));
    near.take(&answer);

    let mut far = Follower::default();
    let answer = shelf.news_after(book, Edition(0)).expect("it is behind");
    assert!(matches!(answer, Vote::Whole { .. }));
    far.take(&answer);
    println!("both hold {}", far.book(book).edition);
    assert_eq!(near.book(book).edition, far.book(book).edition);
}
