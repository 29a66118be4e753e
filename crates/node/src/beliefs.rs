//! What the hub holds to be out, beside the connections that carry attempts: they may differ for as long as a
//! connection is being made or news waits for the owner, and not for longer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Connections that carry an attempt now, by server address.
#[derive(Debug, Default)]
pub struct Carrying(Mutex<HashMap<SocketAddr, usize>>);

/// One of them, until dropped.
#[derive(Debug)]
pub struct Carried {
    of: Arc<Carrying>,
    at: SocketAddr,
}

impl Carrying {
    fn all(&self) -> MutexGuard<'_, HashMap<SocketAddr, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn begin(self: &Arc<Carrying>, at: SocketAddr) -> Carried {
        *self.all().entry(at).or_insert(0) += 1;
        Carried { of: self.clone(), at }
    }

    pub fn now(&self) -> HashMap<SocketAddr, usize> {
        self.all().clone()
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        let mut all = self.of.all();
        if let Some(count) = all.get_mut(&self.at) {
            *count -= 1;
            if *count == 0 {
                // Servers come and go: nothing is kept of those without an attempt.
                all.remove(&self.at);
            }
        }
    }
}

/// A server whose two figures differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Differs {
    pub at: SocketAddr,
    pub believed: usize,
    pub open: usize,
}

/// Looks at both now and then; tells what has differed in the same direction at two looks in a row.
#[derive(Debug, Default)]
pub struct Looks {
    before: HashMap<SocketAddr, bool>,
}

impl Looks {
    pub fn look(
        &mut self,
        believed: &BTreeMap<SocketAddr, usize>,
        open: &HashMap<SocketAddr, usize>,
    ) -> Vec<Differs> {
        let mut now = HashMap::new();
        let mut lasting = Vec::new();
        for at in believed.keys().chain(open.keys()) {
            let (believed, open) = (*believed.get(at).unwrap_or(&0), *open.get(at).unwrap_or(&0));
            if believed != open
                && now.insert(*at, believed > open).is_none()
                && self.before.get(at) == now.get(at)
            {
                lasting.push(Differs { at: *at, believed, open });
            }
        }
        self.before = now;
        lasting.sort_unstable_by_key(|differs| differs.at);
        lasting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_lasts_is_told() {
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let carrying = Arc::new(Carrying::default());
        let (one, two) = (carrying.begin(at(1)), carrying.begin(at(1)));
        let mut looks = Looks::default();
        let believed = BTreeMap::from([(at(1), 3), (at(2), 1)]);
        assert_eq!(looks.look(&believed, &carrying.now()), [], "at first sight nothing lasts");
        let believed = BTreeMap::from([(at(1), 3)]);
        let told = looks.look(&believed, &carrying.now());
        assert_eq!(told, [Differs { at: at(1), believed: 3, open: 2 }], "2 has mended itself");
        drop((one, two));
        assert_eq!(looks.look(&BTreeMap::new(), &carrying.now()), []);
        assert!(carrying.now().is_empty(), "nothing is kept");
    }
}
