//! Generated documents of one service, identical on every target and in the
//! checker, so that every answer of a target can be verified.
//!
//! A document exists from the version that adds it up to the version that removes
//! it. Its text names the version it was read at, which makes answers that mix
//! versions detectable.

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

/// Documents are added and removed by versions up to this one.
const VERSIONS: u64 = 16;
/// One in this many documents is added by a version after the first.
const ADDED_LATER_RATIO: u32 = 8;
/// One in this many documents is removed by a later version.
const REMOVED_RATIO: u32 = 8;
/// Scores are multiples of one over this, so that JSON represents them exactly.
const SCORE_STEPS: u32 = 1 << 16;

/// The subject of the documents.
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
    /// Query texts that match some documents, and the empty text, which matches all.
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
    /// The subject of the documents.
    pub flavour: CorpusFlavour,
    /// The number of documents.
    pub documents: u32,
    /// Seed of the generator; the same seed gives the same documents.
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
    versions: Range<u64>,
}

/// The matches of a search and their number before the limit is applied.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct FoundDocuments {
    /// Number of matches before the limit is applied.
    pub total: u64,
    /// The highest-scored matches, in descending order of score; ties by key.
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
                versions: version_range(&mut rng),
            })
            .collect();
        Self { service: service.to_owned(), documents }
    }

    /// The service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// The result of a complete search of `ranges` at `version`.
    pub fn search(
        &self,
        version: IndexVersion,
        ranges: &RangeSet,
        text: &str,
        limit: usize,
    ) -> FoundDocuments {
        let edition = edition_word(version);
        let query_words: Vec<String> = text.split_whitespace().map(str::to_lowercase).collect();
        let mut found: Vec<&CorpusDocument> = ranges
            .ranges()
            .iter()
            .flat_map(|&range| self.documents_in(range))
            .filter(|document| document.versions.contains(&version.0))
            .filter(|document| document.contains_words(&query_words, &edition))
            .collect();
        let total = found.len() as u64;
        found.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.key.cmp(&b.key)));
        let matches =
            found.into_iter().take(limit).map(|document| document.to_match(&edition)).collect();
        FoundDocuments { total, matches }
    }

    fn documents_in(&self, range: KeyRange) -> &[CorpusDocument] {
        let from = self.documents.partition_point(|document| document.key < range.start);
        let to = self.documents.partition_point(|document| document.key < range.end);
        &self.documents[from..to.max(from)]
    }
}

impl CorpusDocument {
    fn contains_words(&self, query_words: &[String], edition: &str) -> bool {
        query_words.iter().all(|word| word == edition || self.words.contains(word))
    }

    fn to_match(&self, edition: &str) -> DocumentMatch {
        DocumentMatch {
            key: self.key,
            id: format!("{:06x}", self.key),
            score: self.score,
            text: format!("{} {edition}", self.words.join(" ")),
        }
    }
}

/// The last word of every document's text when it is read at `version`.
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

fn version_range(rng: &mut ChaCha8Rng) -> Range<u64> {
    let added = match rng.random_ratio(1, ADDED_LATER_RATIO) {
        true => rng.random_range(2..VERSIONS),
        false => 0,
    };
    let removed = match rng.random_ratio(1, REMOVED_RATIO) {
        true => rng.random_range(added + 1..=VERSIONS),
        false => u64::MAX,
    };
    added..removed
}
