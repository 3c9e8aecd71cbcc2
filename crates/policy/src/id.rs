//! Typed identifiers and the dense maps keyed by them.
//!
//! An index such as [`Team`] is local to one host and valid for the lifetime of its
//! process. Between hosts, the same entity is identified by its [`Tag`], which does not
//! depend on the order in which a host learned of the entities.

use std::fmt;
use std::marker::PhantomData;

use serde::{Deserialize, Serialize};

/// A 32-bit index that serves as the key of a dense [`Map`].
pub trait Entity: Copy {
    /// Makes the key for position `index`; panics if it exceeds 32 bits.
    fn new(index: usize) -> Self;
    /// The position of the entity's value in its map.
    fn index(self) -> usize;
}

macro_rules! entity {
    ($(#[$meta:meta])* $name:ident, $prefix:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(u32);

        impl Entity for $name {
            fn new(index: usize) -> Self {
                Self(u32::try_from(index).expect("entity indices fit 32 bits"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

entity!(
    /// A failure domain of the configuration.
    Domain, "domain"
);
entity!(
    /// A team of the configuration.
    Team, "team"
);
entity!(
    /// A service of the configuration, either a model or a plain service.
    Service, "service"
);
entity!(
    /// An upstream of a service, either an engine or a plain back end.
    Upstream, "upstream"
);

/// A 64-bit identifier that is the same on every host, derived from a name by hashing.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub u64);

impl Tag {
    /// Derives the tag of `name`: the first eight bytes of its BLAKE3 hash.
    pub fn of(name: &str) -> Self {
        let digest = blake3::hash(name.as_bytes());
        let (head, _) = digest.as_bytes().split_at(8);
        Self(u64::from_le_bytes(head.try_into().expect("eight bytes")))
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A request ID: the host that accepted the request, that host's incarnation and a counter.
///
/// The combination is unique across the fleet and across restarts, so a late message
/// cannot be attributed to another request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The entry host that accepted the request.
    pub host: Tag,
    /// The incarnation of that host.
    pub incarnation: u64,
    /// The number of the request within that incarnation.
    pub serial: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:016x}-{:x}-{:x}", self.host.0, self.incarnation, self.serial)
    }
}

impl fmt::Debug for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl std::str::FromStr for Request {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.strip_prefix("req-").unwrap_or("").split('-');
        let mut next = || u64::from_str_radix(parts.next().unwrap_or(""), 16);
        Ok(Self { host: Tag(next()?), incarnation: next()?, serial: next()? })
    }
}

/// A dense map from an entity to a value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Map<K, V> {
    items: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Self {
        Self { items: Vec::new(), key: PhantomData }
    }
}

impl<K: Entity, V> Map<K, V> {
    /// Makes an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a value and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.items.push(value);
        K::new(self.items.len() - 1)
    }

    /// The value at `key`, if there is one.
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// A mutable reference to the value at `key`, if there is one.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.items.get_mut(key.index())
    }

    /// Iterates over keys and values in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items.iter().enumerate().map(|(index, value)| (K::new(index), value))
    }

    /// Iterates over keys and mutable values in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.items.iter_mut().enumerate().map(|(index, value)| (K::new(index), value))
    }

    /// The number of values.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the map has no values.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<K: Entity, V> std::ops::Index<K> for Map<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.items[key.index()]
    }
}

impl<K: Entity, V> std::ops::IndexMut<K> for Map<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.items[key.index()]
    }
}
