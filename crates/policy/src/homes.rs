//! The regions that requests are bound to: their homes.
//!
//! A route or a team may name the regions that its requests may be run in. The upstreams of all other
//! regions are out of bounds for them, whatever becomes of the ones at home: a request without an upstream
//! left is refused. Regions are those of the domains, which each host's settings name.

use std::collections::HashMap;

use crate::prelude::*;

/// The region of each domain, by the tag of the domain's name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(HashMap<Tag, String>);

impl Regions {
    /// Builds the table from the names of domains and of their regions.
    pub fn new<'a>(named: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let named = named.into_iter();
        Self(named.map(|(domain, region)| (Tag::of(domain), region.to_owned())).collect())
    }

    /// The region of a domain; `None` if the settings do not name it.
    pub fn of(&self, domain: Tag) -> Option<&str> {
        self.0.get(&domain).map(String::as_str)
    }
}

/// Whether a request may reach an upstream in `region`.
///
/// The homes of its route and of its team both bind; an empty list binds to nothing. An unknown region is
/// no home of any request.
pub fn allows(route_homes: &[String], team_homes: &[String], region: Option<&str>) -> bool {
    let is_within = |homes: &[String]| {
        homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| home == region))
    };
    is_within(route_homes) && is_within(team_homes)
}
