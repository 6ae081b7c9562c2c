//! Attribute macro that adds the derives common to the data types of the workspace.

use proc_macro::TokenStream;
use proc_macro::TokenTree;

/// Derives `Debug`, `Clone`, `PartialEq`, `serde::Serialize` and `serde::Deserialize`.
///
/// Additional derives are given as arguments: `#[common_derives(Copy, Eq, Hash)]`.
#[proc_macro_attribute]
pub fn common_derives(args: TokenStream, item: TokenStream) -> TokenStream {
    let extra = args.to_string();
    let extra = extra.trim_end_matches(',');
    let sep = if extra.is_empty() { "" } else { ", " };
    let derive = format!(
        "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize{sep}{extra})]"
    );
    match derive.parse::<TokenStream>() {
        Ok(mut tokens) => {
            tokens.extend(item.into_iter().collect::<Vec<TokenTree>>());
            tokens
        }
        Err(e) => format!("compile_error!(\"common_derives: {e}\");").parse().unwrap_or(item),
    }
}
