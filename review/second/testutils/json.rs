//! The few JSON operations that the stand-ins need, on bytes: a value is passed on as it was written.

/// Returns the text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            c if c < ' ' => quoted += &format!("\\u{:04x}", c as u32),
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

/// Returns the bytes of the field of an object.
pub fn field<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut at = skip_space(object, 0);
    if object.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(object, at + 1);
    while object.get(at) == Some(&b'"') {
        let key_end = skip_value(object, at);
        let key = &object[at + 1..key_end - 1];
        let colon = skip_space(object, key_end);
        let start = skip_space(object, colon + 1);
        let end = skip_value(object, start);
        if key == name.as_bytes() {
            return object.get(start..end);
        }
        at = skip_space(object, end);
        if object.get(at) == Some(&b',') {
            at = skip_space(object, at + 1);
        }
    }
    None
}

/// Returns the field of an object as text, without quotes.
pub fn text(object: &[u8], name: &str) -> Option<String> {
    let value = String::from_utf8_lossy(field(object, name)?).into_owned();
    Some(value.trim_matches('"').to_string())
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position after the value that begins at a position.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let (mut depth, mut in_string) = (0, false);
    while at < bytes.len() {
        let byte = bytes[at];
        at += 1;
        match (in_string, byte) {
            (true, b'\\') => at += 1,
            (true, b'"') => {
                in_string = false;
                if depth == 0 {
                    return at;
                }
            }
            (true, _) => {}
            (false, b'"') => in_string = true,
            (false, b'{' | b'[') => depth += 1,
            (false, b'}' | b']') if depth == 0 => return at - 1,
            (false, b'}' | b']') => {
                depth -= 1;
                if depth == 0 {
                    return at;
                }
            }
            (false, b',') if depth == 0 => return at - 1,
            (false, _) => {}
        }
    }
    at.min(bytes.len())
}
