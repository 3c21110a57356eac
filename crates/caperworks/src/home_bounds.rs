//! Decides in which regions proxies may handle requests of routes that are bound to home regions.
//!
//! Where proxies outside the home regions of a route accept its requests and forward them there, a
//! client may use the proxies of its own region. Its requests must not be sent to a third region,
//! which is neither a home region nor that of the client. Directories resolve a whole host, so the
//! bounds of all of its routes apply.

use crate::identifiers::Region;
use crate::map_items::Route;

/// The home regions of some routes, all of which apply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeBounds {
    homes: Vec<Vec<Region>>,
}

impl HomeBounds {
    /// Returns the combined bounds of these routes; routes without home regions add none.
    pub fn of<'routes>(routes: impl Iterator<Item = &'routes Route>) -> Self {
        let bound_routes = routes.filter(|route| !route.homes.is_empty());
        let mut homes: Vec<Vec<Region>> = bound_routes.map(|route| route.homes.clone()).collect();
        homes.sort();
        homes.dedup();
        Self { homes }
    }

    /// Returns whether proxies in region `proxy` may handle requests of a client in region
    /// `client`, if the region of the client is known.
    pub fn allows(&self, proxy: Option<&Region>, client: Option<&Region>) -> bool {
        let is_client_region = proxy.is_some() && proxy == client;
        let is_home_region =
            |homes: &Vec<Region>| proxy.is_some_and(|region| homes.contains(region));
        is_client_region || self.homes.iter().all(is_home_region)
    }
}
