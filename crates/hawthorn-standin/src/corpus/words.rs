//! Vocabulary of the generated documents.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::CorpusFlavour;

const BUNKER_KINDS: [&str; 4] = ["order", "stem", "barge-slot", "invoice"];
const BUNKER_SHIPS: [&str; 8] = [
    "mv-uhuru",
    "mv-kilimanjaro",
    "mv-tumaini",
    "mv-bahari",
    "mv-serengeti",
    "mv-pemba",
    "mv-mafia",
    "mv-rufiji",
];
const BUNKER_FUELS: [&str; 4] = ["vlsfo", "hsfo", "mgo", "ulsfo"];
const BUNKER_PLACES: [&str; 6] =
    ["kurasini", "kigamboni", "mbagala", "berth-3", "berth-7", "anchorage"];
const CLAIM_KINDS: [&str; 4] = ["claim", "filing", "notice", "royalty"];
const CLAIM_MINERALS: [&str; 6] = ["miedz", "srebro", "cynk", "wegiel", "bursztyn", "nikiel"];
const CLAIM_PLACES: [&str; 8] =
    ["katowice", "krakow", "gliwice", "lubin", "polkowice", "olkusz", "bytom", "walbrzych"];
const CLAIM_FIRMS: [&str; 5] = ["slask-geo", "tatra-kop", "odra-min", "baltyk-res", "wisla-terra"];

/// Exclusive upper bound of amounts, in tonnes or hectares.
const MAX_AMOUNT: u32 = 500;

/// Draws the words of one document at random.
pub(super) fn compose(flavour: CorpusFlavour, rng: &mut ChaCha8Rng) -> Vec<String> {
    let lists: [&[&str]; 4] = match flavour {
        CorpusFlavour::Bunker => [&BUNKER_KINDS, &BUNKER_SHIPS, &BUNKER_FUELS, &BUNKER_PLACES],
        CorpusFlavour::Claims => [&CLAIM_KINDS, &CLAIM_MINERALS, &CLAIM_PLACES, &CLAIM_FIRMS],
    };
    let unit = match flavour {
        CorpusFlavour::Bunker => "t",
        CorpusFlavour::Claims => "ha",
    };
    let mut words: Vec<String> = lists.iter().map(|list| draw(list, rng)).collect();
    words.push(format!("{}{unit}", rng.random_range(1..MAX_AMOUNT)));
    words
}

fn draw(list: &[&str], rng: &mut ChaCha8Rng) -> String {
    list[rng.random_range(0..list.len())].to_owned()
}
