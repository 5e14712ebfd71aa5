//! Customers of a configuration: their keys, priorities and quotas.
//!
//! Only digests of keys are kept, and they are compared in constant time, so that neither memory
//! dumps nor response times disclose a key.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use sha2::Digest;
use sha2::Sha256;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;
use subtle::ConstantTimeEq;

/// Digest of a caller's key.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Stands for a configured key that no request can contain: it is empty, too long or not
    /// visible ASCII. It keeps the indices of the customer's other keys.
    pub fn unusable() -> Self {
        Self::of(b"")
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// One customer as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: Rc<str>,
    /// Digests of its keys, in the order of the configuration.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, which takes precedence over the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Requests per second over all hosts; 0 means no limit.
    pub rate: f64,
    /// Requests in addition to the rate.
    pub burst: f64,
}

/// A customer's limit on requests, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerQuota {
    /// Requests per second.
    pub rate: f64,
    /// Requests in addition to the rate.
    pub burst: f64,
}

/// A customer in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer.
    pub name: Rc<str>,
    /// Priority of its requests, which takes precedence over the route's.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` if it has none.
    pub quota: Option<CustomerQuota>,
    keys: Vec<KeyDigest>,
}

/// The customer of a request, and the key that identified it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCustomer {
    /// Name of the customer.
    pub name: Rc<str>,
    /// Index of the key among the customer's keys, in the version with which the request started.
    pub key_index: u16,
    /// Priority of its requests, which takes precedence over the route's.
    pub priority: Option<u32>,
    key: KeyDigest,
}

/// At which point the key of a request that was not sent to any target was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum KeyRefusalCause {
    /// The configuration was not confirmed recently when the request arrived.
    StaleAtAdmission,
    /// The configuration was no longer recent when an attempt was due.
    StaleBeforeSending,
    /// The key was revoked between admission and sending.
    RevokedBeforeSending,
}

/// Why the key of a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum KeyRejection {
    /// The request has no key.
    Missing,
    /// The request has more than one key.
    Several,
    /// The key is empty, too long or not visible ASCII.
    Malformed,
    /// No customer of the version in force holds the key.
    Unknown,
    /// A version that the host knows has removed the key, and no newer one that it knows holds it.
    Revoked,
}

/// A part of a version's customers that is not applied as written, or that operators should know
/// of. Names are escaped, since they become part of log lines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum CustomerFault {
    /// Two customers hold the same key, which stays with its previous holder or is invalid.
    #[strum(to_string = "customers {0} and {1} hold the same key")]
    SharedKey(Rc<str>, Rc<str>),
    /// The customer has no usable key, so that none of its requests is accepted.
    #[strum(to_string = "customer {0} has no key")]
    NoKeys(Rc<str>),
    /// A key moved from the first customer to the second.
    #[strum(to_string = "a key of customer {0} now belongs to customer {1}")]
    MovedKey(Rc<str>, Rc<str>),
    /// Two customers have the same name; the first is in force.
    #[strum(to_string = "customer {0} is defined twice")]
    DuplicateName(Rc<str>),
    /// The rate or burst is negative or not a number; the previous quota stays in force.
    #[strum(to_string = "customer {0} has an invalid rate or burst")]
    Quota(Rc<str>),
    /// A key of the customer is empty, too long or not visible ASCII; its other keys are valid.
    #[strum(to_string = "customer {0} has a key that no request can contain")]
    UnusableKey(Rc<str>),
    /// The name cannot be sent to targets unchanged; the customer is not in force.
    #[strum(to_string = "customer name {0} is empty, padded or has control characters")]
    InvalidName(Rc<str>),
}

/// All customers of a version, indexed by key and by name.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    /// Whether the version defines customers, even if none of them is valid.
    is_defined: bool,
    customers: Vec<Customer>,
    by_name: HashMap<Rc<str>, usize>,
    /// Customer and index of each valid key.
    by_key: HashMap<KeyDigest, (usize, u16)>,
}

impl CustomerTable {
    /// Indexes the customers of a version. Invalid parts keep their state of the previous version;
    /// each is returned as a fault, in a fixed order and once.
    ///
    /// Handles mistakes in operators' configurations: one wrong customer must not change who is
    /// served as another one.
    pub fn build(rules: &[CustomerRule], previous: Option<&Self>) -> (Self, Vec<CustomerFault>) {
        let mut table = Self { is_defined: !rules.is_empty(), ..Self::default() };
        let mut faults = BTreeSet::new();
        for rule in rules {
            table.add(rule, previous, &mut faults);
        }
        table.index_keys(previous, &mut faults);
        (table, faults.into_iter().collect())
    }

    fn add(
        &mut self,
        rule: &CustomerRule,
        previous: Option<&Self>,
        faults: &mut BTreeSet<CustomerFault>,
    ) {
        let name = escaped(&rule.name);
        if !is_valid_name(&rule.name) {
            faults.insert(CustomerFault::InvalidName(name));
            return;
        }
        if self.by_name.contains_key(&rule.name) {
            faults.insert(CustomerFault::DuplicateName(name));
            return;
        }
        let usable = rule.keys.iter().filter(|key| **key != KeyDigest::unusable()).count();
        if usable < rule.keys.len() {
            faults.insert(CustomerFault::UnusableKey(Rc::clone(&name)));
        }
        if usable == 0 {
            faults.insert(CustomerFault::NoKeys(name));
        }
        let before = previous.and_then(|previous| previous.named(&rule.name));
        let quota = table_quota(rule).unwrap_or_else(|fault| {
            faults.insert(fault);
            before.and_then(|customer| customer.quota)
        });
        self.by_name.insert(Rc::clone(&rule.name), self.customers.len());
        self.customers.push(Customer {
            name: Rc::clone(&rule.name),
            priority: rule.priority,
            quota,
            keys: rule.keys.clone(),
        });
    }

    fn index_keys(&mut self, previous: Option<&Self>, faults: &mut BTreeSet<CustomerFault>) {
        for (key, candidates) in self.candidates() {
            let before = previous.and_then(|previous| previous.holder_name(&key));
            let name = |customer: usize| &self.customers[customer].name;
            let kept = match candidates[..] {
                [holder] => {
                    if let Some(before) = before.filter(|before| *before != name(holder.0)) {
                        let (before, now) = (escaped(before), escaped(name(holder.0)));
                        faults.insert(CustomerFault::MovedKey(before, now));
                    }
                    Some(holder)
                }
                _ => {
                    for pair in candidates.windows(2) {
                        let (first, second) = (escaped(name(pair[0].0)), escaped(name(pair[1].0)));
                        faults.insert(CustomerFault::SharedKey(first, second));
                    }
                    candidates.into_iter().find(|(customer, _)| Some(name(*customer)) == before)
                }
            };
            if let Some(holder) = kept {
                self.by_key.insert(key, holder);
            }
        }
    }

    /// The customers that hold each usable key, with the key's first index at each.
    fn candidates(&self) -> HashMap<KeyDigest, Vec<(usize, u16)>> {
        let unusable = KeyDigest::unusable();
        let mut candidates: HashMap<KeyDigest, Vec<(usize, u16)>> = HashMap::new();
        for (customer, held) in self.customers.iter().enumerate() {
            // The index of a key is sent to peers with 16 bits; further keys are not accepted.
            for (index, key) in (0..=u16::MAX).zip(&held.keys) {
                let holders = candidates.entry(*key).or_default();
                if holders.last().is_none_or(|(last, _)| *last != customer) {
                    holders.push((customer, index));
                }
            }
        }
        candidates.remove(&unusable);
        candidates
    }

    fn holder_name(&self, key: &KeyDigest) -> Option<&Rc<str>> {
        let (customer, _) = self.by_key.get(key)?;
        Some(&self.customers[*customer].name)
    }

    /// The number of keys that are accepted.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// The most urgent priority of the customers' requests on a route with this priority; `None`
    /// if no customer holds a key.
    pub fn top_priority(&self, route: u32) -> Option<u32> {
        let holders = self.by_key.values().map(|(customer, _)| &self.customers[*customer]);
        holders.map(|customer| customer.priority.unwrap_or(route)).min()
    }

    /// Whether the version defines no customers, so that requests need no key. Customers that are
    /// all invalid don't open the routes to everybody.
    pub fn is_empty(&self) -> bool {
        !self.is_defined
    }

    /// All customers.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.customers.iter()
    }

    /// The customer with a name.
    pub fn named(&self, name: &str) -> Option<&Customer> {
        self.by_name.get(name).map(|index| &self.customers[*index])
    }

    /// The customer that holds a key.
    pub fn identify(&self, key: &[u8]) -> Option<RequestCustomer> {
        let key = KeyDigest::of(key);
        let (customer, index) = self.by_key.get(&key)?;
        self.request_customer(*customer, *index, key)
    }

    /// The customer of a request that a peer received, with a key of this version.
    pub fn resolve(&self, name: &str, key_index: u16) -> Option<RequestCustomer> {
        let customer = *self.by_name.get(name)?;
        let key = *self.customers[customer].keys.get(usize::from(key_index))?;
        let holder = self.by_key.get(&key)?;
        (*holder == (customer, key_index))
            .then(|| self.request_customer(customer, key_index, key))
            .flatten()
    }

    fn request_customer(
        &self,
        customer: usize,
        key_index: u16,
        key: KeyDigest,
    ) -> Option<RequestCustomer> {
        let Customer { name, priority, .. } = self.customers.get(customer)?;
        Some(RequestCustomer { name: Rc::clone(name), key_index, priority: *priority, key })
    }

    /// Whether the customer of a request still holds the key that identified it.
    pub fn holds(&self, customer: &RequestCustomer) -> bool {
        let holder = self.by_key.get(&customer.key);
        holder.is_some_and(|(index, _)| self.customers[*index].name == customer.name)
    }
}

/// Maximum number of revoked keys that are remembered, so that operators who rotate keys for months
/// do not fill the memory of a small host.
pub const MAX_REVOKED_KEYS: usize = 4096;

/// Keys that a version held and a newer one removed, over the life of the process.
///
/// Handles callers that still use a revoked key while the host cannot reach the store: a key that
/// was never seen may be in a version that the host lacks, a removed one was revoked.
#[derive(Clone, Debug, Default)]
pub struct RevokedKeys {
    keys: HashSet<KeyDigest>,
    /// The same, in the order of their removal.
    order: VecDeque<KeyDigest>,
}

impl RevokedKeys {
    /// Records the keys that `next` removes, and forgets those that it holds again.
    pub fn update(&mut self, previous: &CustomerTable, next: &CustomerTable) {
        let is_held = |key: &KeyDigest| next.by_key.contains_key(key);
        self.keys.retain(|key| !is_held(key));
        self.order.retain(|key| !is_held(key));
        for key in previous.by_key.keys().filter(|key| !is_held(key)) {
            if self.keys.insert(*key) {
                self.order.push_back(*key);
            }
        }
        let excess = self.order.len().saturating_sub(MAX_REVOKED_KEYS);
        for key in self.order.drain(..excess) {
            self.keys.remove(&key);
        }
    }

    /// Whether a version removed the key, and no newer one holds it.
    pub fn contains(&self, key: &[u8]) -> bool {
        self.keys.contains(&KeyDigest::of(key))
    }
}

fn table_quota(rule: &CustomerRule) -> Result<Option<CustomerQuota>, CustomerFault> {
    let CustomerRule { rate, burst, .. } = *rule;
    let valid = |value: f64| value.is_finite() && value >= 0.0;
    if !valid(rate) || !valid(burst) {
        return Err(CustomerFault::Quota(escaped(&rule.name)));
    }
    Ok((rate > 0.0).then_some(CustomerQuota { rate, burst }))
}

/// Whether targets receive the name unchanged as a header value: HTTP does not permit control
/// characters, and recipients remove surrounding blanks.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
}

fn escaped(name: &str) -> Rc<str> {
    log_name(name).into()
}

/// A customer's name as part of a quoted value in a log line, which has no way to escape quotes.
pub fn log_name(name: &str) -> String {
    name.escape_debug().to_string().replace("\\\"", "\\u{22}")
}
