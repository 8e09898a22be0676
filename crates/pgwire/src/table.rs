//! The statements of all clients, each kept once.
//!
//! An index of hashes over a slab finds a statement by its text and declared types. Those that nobody leases are
//! linked in a list, the one left longest first, so that making room is one unlink however large the table is. A
//! lease that is dropped puts its number in a queue that the table looks through at its next call: no path can
//! forget to give one back.

use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hash, Hasher};
use std::rc::Rc;

use hashbrown::{DefaultHashBuilder, HashTable};
use thiserror::Error;

use crate::lexer::Placeholder;
use crate::statement::Malformed;
use crate::template::{self, Purpose};

/// What the book-keeping of a statement takes beside its own bytes, about: entry, index, pointers.
const OVERHEAD: usize = 256;
/// The most parameters of a statement; PostgreSQL allows 65,535 and no request needs so many.
pub const MOST_PARAMETERS: usize = 1024;
/// PostgreSQL's type `text`.
pub const TEXT: u32 = 25;

/// What a db host says of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Description {
    /// The types of its parameters.
    pub parameters: Vec<u32>,
    /// The body of its RowDescription, formats all text; none if it returns no rows.
    pub row: Option<Vec<u8>>,
}

impl Description {
    fn bytes(&self) -> usize {
        self.parameters.len() * 4 + self.row.as_ref().map_or(0, Vec::len)
    }
}

/// A statement as a client prepared it.
#[derive(Debug)]
pub struct Statement {
    number: Cell<Option<u64>>,
    /// Its text, without its zero byte.
    pub text: Box<[u8]>,
    /// The declared types of its parameters; 0 where the client left it open.
    pub types: Box<[u32]>,
    /// What it is for.
    pub purpose: Purpose,
    /// Its references outside quotes and comments.
    pub placeholders: Box<[Placeholder]>,
    /// Its references in the closing comment.
    pub told: Box<[Placeholder]>,
    slot: u32,
    description: RefCell<Option<Rc<Description>>>,
}

impl Statement {
    /// Its number, which no other ever has; a new one each time its plans are out of date. None for one that is
    /// used only once.
    pub fn number(&self) -> Option<u64> {
        self.number.get()
    }

    /// The types that a db host is told: as declared, but `text` for a parameter that only the comment refers
    /// to, whose type a db host could not find out.
    pub fn types_for_host(&self) -> impl Iterator<Item = u32> + '_ {
        self.types.iter().enumerate().map(|(n, declared)| match declared {
            0 if !self.placeholders.iter().any(|p| usize::from(p.parameter) == n) => TEXT,
            declared => *declared,
        })
    }

    /// The type of a parameter, as far as it is known: declared, described or as a db host is told.
    pub fn type_of(&self, parameter: u16) -> u32 {
        let n = usize::from(parameter);
        match self.types_for_host().nth(n).unwrap_or(0) {
            0 => self.description().and_then(|d| d.parameters.get(n).copied()).unwrap_or(0),
            known => known,
        }
    }

    /// What a db host has said of it.
    pub fn description(&self) -> Option<Rc<Description>> {
        self.description.borrow().clone()
    }

    fn bytes(&self) -> usize {
        let places = self.placeholders.len() + self.told.len();
        let description = self.description.borrow().as_ref().map_or(0, |d| d.bytes());
        self.text.len() + self.types.len() * 4 + places * size_of::<Placeholder>() + description + OVERHEAD
    }
}

type Returns = Rc<RefCell<Vec<u32>>>;

/// Keeps a statement in the table for as long as it lives.
#[derive(Clone, Debug)]
pub struct Lease {
    statement: Rc<Statement>,
    returns: Returns,
}

impl std::ops::Deref for Lease {
    type Target = Statement;

    fn deref(&self) -> &Statement {
        &self.statement
    }
}

impl Lease {
    /// Whether both are for the same statement.
    #[must_use]
    pub fn same(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.statement, &other.statement)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // The table's own and this one: nobody else has it from now on.
        if self.statement.number().is_some() && Rc::strong_count(&self.statement) == 2 {
            self.returns.borrow_mut().push(self.statement.slot);
        }
    }
}

/// Why a statement is not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NotTaken {
    /// It can never be a request.
    #[error("{0}")]
    Malformed(#[from] Malformed),
    /// The comment refers to a parameter that the statement does not have.
    #[error("the comment refers to parameter {0}, of which there may be {MOST_PARAMETERS}")]
    TooMany(usize),
    /// All that the table holds is in use.
    #[error("the statement table is full: {0} bytes, all in use")]
    Full(usize),
}

const NONE: u32 = u32::MAX;

#[derive(Debug)]
struct Slot {
    statement: Option<Rc<Statement>>,
    /// In the list of those nobody leases; a free slot is in none.
    idle: bool,
    before: u32,
    after: u32,
}

/// All statements that can be used again.
#[derive(Debug)]
pub struct Table {
    hasher: DefaultHashBuilder,
    index: HashTable<u32>,
    slots: Vec<Slot>,
    free: Vec<u32>,
    /// The ends of the list: left longest, and last.
    oldest: u32,
    newest: u32,
    returns: Returns,
    settling: Vec<u32>,
    bytes: usize,
    most_bytes: usize,
    taken: u64,
    evicted: u64,
}

impl Table {
    /// A table of at most `most_bytes`.
    #[must_use]
    pub fn new(most_bytes: usize) -> Self {
        Self {
            hasher: DefaultHashBuilder::default(),
            index: HashTable::new(),
            slots: Vec::new(),
            free: Vec::new(),
            oldest: NONE,
            newest: NONE,
            returns: Returns::default(),
            settling: Vec::new(),
            bytes: 0,
            most_bytes,
            taken: 0,
            evicted: 0,
        }
    }

    /// The most bytes from now on; what is leased beyond stays until it is given back.
    pub fn limit(&mut self, most_bytes: usize) {
        self.most_bytes = most_bytes;
        self.settle();
    }

    /// Statements held, their bytes, and how many have had to go.
    #[must_use]
    pub fn figures(&self) -> (usize, usize, u64) {
        (self.index.len(), self.bytes, self.evicted)
    }

    /// The statement of this text and these types, new or as others have it.
    ///
    /// # Errors
    /// Says why it can never be a request, or that the table is full of what is in use.
    pub fn lease(&mut self, text: &[u8], types: &[u32]) -> Result<Lease, NotTaken> {
        self.settle();
        let hash = self.hash(text, types);
        let slots = &self.slots;
        let same = |slot: &u32| {
            let statement = slots[*slot as usize].statement.as_ref();
            statement.is_some_and(|s| *s.text == *text && s.types.starts_with(types) && padded(s, types))
        };
        if let Some(slot) = self.index.find(hash, same).copied() {
            self.unlink(slot);
            let statement = self.slots[slot as usize].statement.clone();
            return statement.map(|s| self.hand_out(s)).ok_or(NotTaken::Full(self.bytes));
        }
        let mut statement = read(text, types)?;
        if !statement.reusable() {
            return Ok(self.hand_out(Rc::new(statement)));
        }
        let bytes = statement.bytes();
        while self.bytes + bytes > self.most_bytes {
            if !self.evict() {
                return Err(NotTaken::Full(self.bytes));
            }
        }
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { statement: None, idle: false, before: NONE, after: NONE });
            u32::try_from(self.slots.len() - 1).expect("bounded in bytes far below")
        });
        self.taken += 1;
        statement.number.set(Some(self.taken));
        statement.slot = slot;
        let statement = Rc::new(statement);
        self.slots[slot as usize].statement = Some(Rc::clone(&statement));
        self.bytes += bytes;
        let (slots, hasher) = (&self.slots, &self.hasher);
        self.index.insert_unique(hash, slot, |slot| {
            slots[*slot as usize].statement.as_ref().map_or(0, |s| hash_of(hasher, &s.text, declared(s)))
        });
        Ok(self.hand_out(statement))
    }

    /// Keeps what a db host says of a statement, if there is room, or forgets what no longer holds. Of one that is
    /// used only once nothing is kept.
    pub fn describe(&mut self, statement: &Lease, description: Option<Description>) {
        if statement.number().is_none() {
            return;
        }
        self.settle();
        let before = statement.bytes();
        *statement.description.borrow_mut() = description.map(Rc::new);
        self.bytes = self.bytes + statement.bytes() - before;
        while self.bytes > self.most_bytes {
            if !self.evict() {
                let before = statement.bytes();
                *statement.description.borrow_mut() = None;
                self.bytes = self.bytes + statement.bytes() - before;
                return;
            }
        }
    }

    /// A db host says that the plan it has made of a statement no longer holds: what is known of its columns is
    /// forgotten, and every connection prepares it anew under a new number.
    pub fn outdate(&mut self, statement: &Lease) {
        if statement.number().is_some() {
            self.taken += 1;
            statement.number.set(Some(self.taken));
            self.describe(statement, None);
        }
    }

    fn hand_out(&self, statement: Rc<Statement>) -> Lease {
        Lease { statement, returns: Rc::clone(&self.returns) }
    }

    fn hash(&self, text: &[u8], types: &[u32]) -> u64 {
        hash_of(&self.hasher, text, types)
    }

    /// Links what has been given back, and makes room if there is too much.
    fn settle(&mut self) {
        // Two vectors change places, so that neither is ever allocated anew.
        let mut returned = std::mem::take(&mut self.settling);
        std::mem::swap(&mut returned, &mut self.returns.borrow_mut());
        for slot in returned.drain(..) {
            let idle = self.slots.get(slot as usize).is_some_and(|s| {
                !s.idle && s.statement.as_ref().is_some_and(|statement| Rc::strong_count(statement) == 1)
            });
            if idle {
                self.link(slot);
            }
        }
        self.settling = returned;
        while self.bytes > self.most_bytes && self.evict() {}
    }

    /// Lets go what nobody has leased for longest; false if all is in use.
    fn evict(&mut self) -> bool {
        let slot = self.oldest;
        if slot == NONE {
            return false;
        }
        self.unlink(slot);
        let Some(statement) = self.slots[slot as usize].statement.take() else { return false };
        let hash = self.hash(&statement.text, declared(&statement));
        if let Ok(entry) = self.index.find_entry(hash, |other| *other == slot) {
            entry.remove();
        }
        self.bytes -= statement.bytes();
        self.free.push(slot);
        self.evicted += 1;
        true
    }

    fn link(&mut self, slot: u32) {
        let last = self.newest;
        let entry = &mut self.slots[slot as usize];
        (entry.idle, entry.before, entry.after) = (true, last, NONE);
        match self.slots.get_mut(last as usize) {
            Some(entry) => entry.after = slot,
            None => self.oldest = slot,
        }
        self.newest = slot;
    }

    fn unlink(&mut self, slot: u32) {
        let entry = &mut self.slots[slot as usize];
        if !std::mem::take(&mut entry.idle) {
            return;
        }
        let (before, after) = (entry.before, entry.after);
        match self.slots.get_mut(before as usize) {
            Some(entry) => entry.after = after,
            None => self.oldest = after,
        }
        match self.slots.get_mut(after as usize) {
            Some(entry) => entry.before = before,
            None => self.newest = before,
        }
    }
}

impl Statement {
    fn reusable(&self) -> bool {
        match &self.purpose {
            Purpose::Request(template) => template.reusable(),
            Purpose::Local(_) => false,
        }
    }
}

fn hash_of(hasher: &DefaultHashBuilder, text: &[u8], types: &[u32]) -> u64 {
    let mut state = hasher.build_hasher();
    text.hash(&mut state);
    // Open types at the end are as good as none declared.
    let len = types.iter().rposition(|t| *t != 0).map_or(0, |last| last + 1);
    types[..len].hash(&mut state);
    state.finish()
}

fn declared(statement: &Statement) -> &[u32] {
    &statement.types
}

/// Beyond the types that were declared, the statement has only open ones.
fn padded(statement: &Statement, types: &[u32]) -> bool {
    statement.types[types.len()..].iter().all(|declared| *declared == 0)
}

/// Reads a statement; its types are as many as its parameters.
fn read(text: &[u8], types: &[u32]) -> Result<Statement, NotTaken> {
    let read = template::read(text)?;
    let places = read.placeholders.iter().chain(&read.told);
    let most = places.map(|p| usize::from(p.parameter) + 1).max().unwrap_or(0).max(types.len());
    if most > MOST_PARAMETERS {
        return Err(NotTaken::TooMany(most));
    }
    let mut types = types.to_vec();
    types.resize(most, 0);
    Ok(Statement {
        number: Cell::new(None),
        text: text.into(),
        types: types.into(),
        purpose: read.purpose,
        placeholders: read.placeholders.into(),
        told: read.told.into(),
        slot: NONE,
        description: RefCell::default(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(n: usize) -> Vec<u8> {
        format!("SELECT doc FROM t{n} WHERE id = $1 /* id=$2,c=view,d=$3,cluster=2 */").into_bytes()
    }

    fn room_for(statements: usize) -> usize {
        read(&text(0), &[]).unwrap().bytes() * statements
    }

    #[test]
    fn a_statement_is_kept_once_and_types_tell_statements_apart() {
        let mut table = Table::new(room_for(9));
        let (one, two) = (table.lease(&text(1), &[]).unwrap(), table.lease(&text(1), &[0, 0]).unwrap());
        assert!(one.same(&two) && one.number() == Some(1));
        let typed = table.lease(&text(1), &[25]).unwrap();
        assert!(!one.same(&typed));
        assert!(typed.same(&table.lease(&text(1), &[25, 0]).unwrap()));
        assert_eq!(table.figures().0, 2);
        // What the host is told: open where the statement itself refers to it, else text.
        assert_eq!(one.types_for_host().collect::<Vec<_>>(), [0, TEXT, TEXT]);
    }

    #[test]
    fn what_is_leased_stays_and_the_one_left_longest_goes_first() {
        let mut table = Table::new(room_for(3));
        let held = table.lease(&text(0), &[]).unwrap();
        for n in [1, 2] {
            drop(table.lease(&text(n), &[]).unwrap());
        }
        // Used again, so the other one is the oldest now.
        drop(table.lease(&text(1), &[]).unwrap());
        drop(table.lease(&text(3), &[]).unwrap());
        assert_eq!(table.figures().0, 3);
        assert_eq!(table.lease(&text(1), &[]).unwrap().number(), Some(2), "still the first of its kind");
        assert_eq!(table.lease(&text(2), &[]).unwrap().number(), Some(5), "had to go, and is new");
        assert_eq!(table.lease(&text(0), &[]).unwrap().number(), held.number());
    }

    #[test]
    fn a_full_table_says_so_and_recovers() {
        let mut table = Table::new(room_for(2));
        let leases = [0, 1].map(|n| table.lease(&text(n), &[]).unwrap());
        assert!(matches!(table.lease(&text(2), &[]), Err(NotTaken::Full(_))));
        drop(leases);
        assert!(table.lease(&text(2), &[]).is_ok());
        table.limit(0);
        assert_eq!(table.figures(), (0, 0, 3));
    }

    #[test]
    fn descriptions_count_and_are_kept_only_where_there_is_room() {
        let mut table = Table::new(room_for(2));
        let (one, other) = (table.lease(&text(0), &[]).unwrap(), table.lease(&text(1), &[]).unwrap());
        let before = table.figures().1;
        let description = Description { parameters: vec![25; 3], row: Some(vec![0; 100]) };
        table.describe(&one, Some(description.clone()));
        assert_eq!((one.description(), table.figures().1), (None, before), "all else is in use");
        drop(other);
        drop(table.lease(&text(1), &[]).unwrap());
        table.describe(&one, Some(description.clone()));
        assert_eq!(one.description().as_deref(), Some(&description));
        assert_eq!((table.figures().0, one.type_of(0)), (1, 25));
        table.describe(&one, None);
        assert_eq!(table.figures().1, before / 2);
    }

    #[test]
    fn one_with_its_id_in_the_text_is_not_kept() {
        let mut table = Table::new(0);
        let once = table.lease(b"SELECT $1 /* id=9b,c=view,d=1,cluster=2 */", &[]).unwrap();
        assert_eq!((once.number(), table.figures().0), (None, 0));
        assert!(table.lease(b"SET search_path = a", &[]).is_ok());
        let many = "SELECT $1025 /* id=$1,c=view,d=1,cluster=2 */";
        assert_eq!(table.lease(many.as_bytes(), &[]).unwrap_err(), NotTaken::TooMany(1025));
    }
}
