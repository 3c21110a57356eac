//! Following the numbered feed: from a place on, or from a snapshot, and never back.

use crate::prelude::*;

/// A follower's copy of the books.
#[derive(Debug, Clone)]
pub struct Follower {
    books: Vec<Book>,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            books: ALL_BOOKS.iter().map(|_| Book::empty()).collect(),
        }
    }
}

impl Follower {
    pub fn book(&self, name: BookName) -> &Book {
        &self.books[name.index()]
    }

    pub fn editions(&self) -> Vec<Edition> {
        self.books.iter().map(|book| book.edition).collect()
    }

    /// Whether this copy holds at least these editions.
    pub fn holds(&self, editions: &[Edition]) -> bool {
        editions
            .iter()
            .zip(&self.books)
            .all(|(wanted, book)| book.edition >= *wanted)
    }

    /// Takes news in; says whether the book moved on.
    pub fn take(&mut self, news: &Vote) -> Option<BookName> {
        match news {
            Vote::News {
                book: name,
                changes,
            } => {
                let book = &mut self.books[name.index()];
                let before = book.edition;
                for numbered in changes {
                    // Why only the very next: a gap means news was lost, and the next question
                    // will ask from where we stand.
                    if numbered.edition == book.edition.next() {
                        book.apply(&numbered.change);
                    }
                }
                (book.edition > before).then_some(*name)
            }
            Vote::Whole { book: name, whole } => {
                let book = &mut self.books[name.index()];
                if whole.edition > book.edition {
                    *book = whole.clone();
                    Some(*name)
                } else {
                    None
                }
            }
            _ => None,
        }
    }
}

/// What a node that answers followers needs: the books, and the changes of late.
#[derive(Debug, Clone, Default)]
pub struct Shelf {
    follower: Follower,
    histories: BTreeMap<BookName, VecDeque<NumberedChange>>,
}

impl Shelf {
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    pub fn take(&mut self, news: &Vote) -> Option<BookName> {
        let before = match news {
            Vote::News { book, .. } | Vote::Whole { book, .. } => self.follower.book(*book).edition,
            _ => return None,
        };
        let moved = self.follower.take(news)?;
        let history = self.histories.entry(moved).or_default();
        match news {
            Vote::News { changes, .. } => {
                history.extend(
                    changes
                        .iter()
                        .filter(|change| change.edition > before)
                        .cloned(),
                );
                while history.len() > HISTORY {
                    history.pop_front();
                }
            }
            _ => history.clear(),
        }
        Some(moved)
    }

    pub fn news_after(&self, name: BookName, after: Edition) -> Option<Vote> {
        let book = self.follower.book(name);
        if after >= book.edition {
            return None;
        }
        let history = self.histories.get(&name);
        let reaches = history
            .and_then(VecDeque::front)
            .is_some_and(|first| first.edition <= after.next());
        Some(match history {
            Some(history) if reaches => Vote::News {
                book: name,
                changes: history
                    .iter()
                    .filter(|numbered| numbered.edition > after)
                    .cloned()
                    .collect(),
            },
            _ => Vote::Whole {
                book: name,
                whole: book.clone(),
            },
        })
    }
}
