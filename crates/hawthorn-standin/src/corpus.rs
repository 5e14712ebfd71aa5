//! Generated documents of one service, the same on every target and in the
//! checker: whatever a target answers can be compared with the truth.
//!
//! A document lives from the version that adds it to the one that drops it, and
//! its text names the version it was read at, so an answer that mixes versions
//! shows.

use std::collections::HashSet;
use std::ops::Range;

use hawthorn_types::IndexVersion;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::target::DocumentMatch;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

mod words;

/// Versions among which documents are added and dropped.
const VERSIONS: u64 = 16;
/// One document in so many is added by a version after the first.
const ADDED_LATER: u32 = 8;
/// One document in so many is dropped by some version.
const DROPPED: u32 = 8;
/// Scores lie in steps of one over this, so that they survive JSON exactly.
const SCORE_STEPS: u32 = 1 << 16;

/// What the documents speak of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum CorpusFlavour {
    /// Bunker orders, stems and barge slots at Dar Port.
    #[default]
    Bunker,
    /// Filings of mining claims in Poland.
    Claims,
}

impl CorpusFlavour {
    /// Texts that some documents hold, and the empty one that all do.
    pub fn query_texts(self) -> Vec<String> {
        let texts: &[&str] = match self {
            Self::Bunker => &["mv-uhuru", "mv-pemba", "stem vlsfo", "order kurasini", ""],
            Self::Claims => &["miedz", "olkusz", "claim srebro", "filing lubin", ""],
        };
        texts.iter().map(|&text| text.to_owned()).collect()
    }
}

/// How to generate a corpus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CorpusOptions {
    /// What the documents speak of.
    pub flavour: CorpusFlavour,
    /// How many documents.
    pub documents: u32,
    /// The same seed gives the same documents.
    pub seed: u64,
}

impl Default for CorpusOptions {
    fn default() -> Self {
        Self { flavour: CorpusFlavour::Bunker, documents: 2000, seed: 1 }
    }
}

/// The documents of one service at all versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Corpus {
    service: String,
    documents: Vec<CorpusDocument>,
}

#[derive(Clone, Debug, PartialEq)]
struct CorpusDocument {
    key: u32,
    score: f32,
    words: Vec<String>,
    lives: Range<u64>,
}

/// The matches of a search and how many there were before the limit.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct FoundDocuments {
    /// Matches before the limit.
    pub total: u64,
    /// The best, best first; ties by key.
    pub matches: Vec<DocumentMatch>,
}

impl Corpus {
    /// Generates the documents of `service`.
    pub fn generate(service: &str, options: &CorpusOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let keys = distinct_keys(&mut rng, options.documents);
        let documents = keys
            .into_iter()
            .map(|key| CorpusDocument {
                key,
                score: rng.random_range(0..SCORE_STEPS) as f32 / SCORE_STEPS as f32,
                words: words::compose(options.flavour, &mut rng),
                lives: lifetime(&mut rng),
            })
            .collect();
        Self { service: service.to_owned(), documents }
    }

    /// The service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// What a complete search of `ranges` at `version` finds.
    pub fn search(
        &self,
        version: IndexVersion,
        ranges: &RangeSet,
        text: &str,
        limit: usize,
    ) -> FoundDocuments {
        let edition = edition_word(version);
        let wanted: Vec<String> = text.split_whitespace().map(str::to_lowercase).collect();
        let mut found: Vec<&CorpusDocument> = ranges
            .ranges()
            .iter()
            .flat_map(|&range| self.inside(range))
            .filter(|document| document.lives.contains(&version.0))
            .filter(|document| document.holds(&wanted, &edition))
            .collect();
        let total = found.len() as u64;
        found.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.key.cmp(&b.key)));
        let matches =
            found.into_iter().take(limit).map(|document| document.shown(&edition)).collect();
        FoundDocuments { total, matches }
    }

    fn inside(&self, range: KeyRange) -> &[CorpusDocument] {
        let from = self.documents.partition_point(|document| document.key < range.start);
        let to = self.documents.partition_point(|document| document.key < range.end);
        &self.documents[from..to.max(from)]
    }
}

impl CorpusDocument {
    fn holds(&self, wanted: &[String], edition: &str) -> bool {
        wanted.iter().all(|word| word == edition || self.words.contains(word))
    }

    fn shown(&self, edition: &str) -> DocumentMatch {
        DocumentMatch {
            key: self.key,
            id: format!("{:06x}", self.key),
            score: self.score,
            text: format!("{} {edition}", self.words.join(" ")),
        }
    }
}

/// The word that every document's text ends with when it is read at `version`.
pub fn edition_word(version: IndexVersion) -> String {
    format!("edition-{}", version.0)
}

fn distinct_keys(rng: &mut ChaCha8Rng, count: u32) -> Vec<u32> {
    let count = count.min(KEY_SPACE / 2) as usize;
    let mut drawn = HashSet::with_capacity(count);
    while drawn.len() < count {
        drawn.insert(rng.random_range(0..KEY_SPACE));
    }
    let mut keys: Vec<u32> = drawn.into_iter().collect();
    keys.sort_unstable();
    keys
}

fn lifetime(rng: &mut ChaCha8Rng) -> Range<u64> {
    let added = match rng.random_ratio(1, ADDED_LATER) {
        true => rng.random_range(2..VERSIONS),
        false => 0,
    };
    let dropped = match rng.random_ratio(1, DROPPED) {
        true => rng.random_range(added + 1..=VERSIONS),
        false => u64::MAX,
    };
    added..dropped
}
