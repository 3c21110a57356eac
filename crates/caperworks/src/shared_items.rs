//! The items of a map, in a persistent tree with structural sharing.
//!
//! Cloning takes constant time, a change of one item copies only the path to it, and two clones are compared
//! by the parts that they do not share. Proxies clone their maps for each update, and a configuration may
//! have many thousand items. The encoding is that of a plain map, sorted by key.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use crate::replicated_map::Item;

/// The items of a map by key.
pub type Items = imbl::OrdMap<String, Item>;

/// Encodes items as a map, sorted by key.
pub fn encode<Context, Output: minicbor::encode::Write>(
    items: &Items,
    encoder: &mut minicbor::Encoder<Output>,
    context: &mut Context,
) -> Result<(), minicbor::encode::Error<Output::Error>> {
    encoder.map(items.len() as u64)?;
    for (key, item) in items {
        key.encode(encoder, context)?;
        item.encode(encoder, context)?;
    }
    Ok(())
}

/// Decodes items from a map, as [`encode`] writes it.
pub fn decode<Context>(
    decoder: &mut minicbor::Decoder<'_>,
    context: &mut Context,
) -> Result<Items, minicbor::decode::Error> {
    let items: BTreeMap<String, Item> = Decode::decode(decoder, context)?;
    Ok(items.into_iter().collect())
}

/// Returns the items whose keys begin with a kind and a slash, with their names.
pub fn items_of_kind<'items>(
    items: &'items Items,
    kind: &'static str,
) -> impl Iterator<Item = (&'items str, &'items Item)> {
    let first = format!("{kind}/");
    let prefix_length = first.len();
    // '0' is the character after '/': all keys of the kind come before it.
    items
        .range::<_, String>(first..format!("{kind}0"))
        .map(move |(key, item)| (&key[prefix_length..], item))
}
