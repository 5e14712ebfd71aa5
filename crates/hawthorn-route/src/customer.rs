//! Customers of a configuration: their keys, priorities and quotas.
//!
//! Only digests of keys are kept, and they are compared in constant time, so that neither memory
//! dumps nor response times disclose a key.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use sha2::Digest;
use sha2::Sha256;
use strum::Display;
use subtle::ConstantTimeEq;

/// Digest of a caller's key.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
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

/// A part of a version's customers that is not applied as written.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum CustomerFault {
    /// Two customers hold the same key, which stays with its previous holder or is invalid.
    #[strum(to_string = "customers {0} and {1} hold the same key")]
    SharedKey(Rc<str>, Rc<str>),
    /// The customer has no key, so that none of its requests is accepted.
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
}

/// All customers of a version, indexed by key and by name.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    customers: Vec<Customer>,
    by_name: HashMap<Rc<str>, usize>,
    /// Customer and index of each valid key.
    by_key: HashMap<KeyDigest, (usize, u16)>,
}

impl CustomerTable {
    /// Indexes the customers of a version. Invalid parts keep their state of the previous version;
    /// each is returned as a fault.
    pub fn build(rules: &[CustomerRule], previous: Option<&Self>) -> (Self, Vec<CustomerFault>) {
        let mut table = Self::default();
        let mut faults = Vec::new();
        for rule in rules {
            if table.by_name.contains_key(&rule.name) {
                faults.push(CustomerFault::DuplicateName(Rc::clone(&rule.name)));
                continue;
            }
            if rule.keys.is_empty() {
                faults.push(CustomerFault::NoKeys(Rc::clone(&rule.name)));
            }
            let before = previous.and_then(|previous| previous.named(&rule.name));
            let quota = table_quota(rule).unwrap_or_else(|fault| {
                faults.push(fault);
                before.and_then(|customer| customer.quota)
            });
            table.by_name.insert(Rc::clone(&rule.name), table.customers.len());
            table.customers.push(Customer {
                name: Rc::clone(&rule.name),
                priority: rule.priority,
                quota,
                keys: rule.keys.clone(),
            });
        }
        table.index_keys(previous, &mut faults);
        (table, faults)
    }

    fn index_keys(&mut self, previous: Option<&Self>, faults: &mut Vec<CustomerFault>) {
        let holder_before = |key: &KeyDigest| {
            let previous = previous?;
            let (customer, _) = previous.by_key.get(key)?;
            Some(Rc::clone(&previous.customers[*customer].name))
        };
        let mut holders: HashMap<KeyDigest, Vec<(usize, u16)>> = HashMap::new();
        for (customer, held) in self.customers.iter().enumerate() {
            for (index, key) in held.keys.iter().enumerate() {
                let holder = (customer, u16::try_from(index).unwrap_or(u16::MAX));
                let others = holders.entry(*key).or_default();
                if !others.iter().any(|(other, _)| *other == customer) {
                    others.push(holder);
                }
            }
        }
        for (key, candidates) in holders {
            let before = holder_before(&key);
            let name = |customer: usize| Rc::clone(&self.customers[customer].name);
            if let [first, second, ..] = candidates[..] {
                faults.push(CustomerFault::SharedKey(name(first.0), name(second.0)));
                let kept = candidates.iter().find(|(customer, _)| Some(name(*customer)) == before);
                if let Some(kept) = kept {
                    self.by_key.insert(key, *kept);
                }
            } else if let [holder] = candidates[..] {
                if let Some(before) = before.filter(|before| *before != name(holder.0)) {
                    faults.push(CustomerFault::MovedKey(before, name(holder.0)));
                }
                self.by_key.insert(key, holder);
            }
        }
    }

    /// Whether there are no customers, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
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

fn table_quota(rule: &CustomerRule) -> Result<Option<CustomerQuota>, CustomerFault> {
    let CustomerRule { rate, burst, .. } = *rule;
    let valid = |value: f64| value.is_finite() && value >= 0.0;
    if !valid(rate) || !valid(burst) {
        return Err(CustomerFault::Quota(Rc::clone(&rule.name)));
    }
    Ok((rate > 0.0).then_some(CustomerQuota { rate, burst }))
}
