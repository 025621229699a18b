//! Loads the golden files: bytes that a build of each format has written.

const FILES: [(u8, &str); 7] = [
    (4, include_str!("../golden/format-4.txt")),
    (5, include_str!("../golden/format-5.txt")),
    (6, include_str!("../golden/format-6.txt")),
    (7, include_str!("../golden/format-7.txt")),
    (8, include_str!("../golden/format-8.txt")),
    (9, include_str!("../golden/format-9.txt")),
    (10, include_str!("../golden/format-10.txt")),
];

/// The golden file of one format.
pub struct Golden {
    pub format: u8,
    lines: Vec<(String, Vec<u8>)>,
}

impl Golden {
    /// Returns the encoded values of a kind, such as `request`, in the order of the file.
    pub fn entries<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.lines.iter();
        lines
            .filter(move |(line_kind, _)| line_kind == kind)
            .map(|(_, bytes)| bytes.as_slice())
    }
}

/// Loads the golden files of all formats, from the oldest to the newest.
pub fn all() -> Vec<Golden> {
    let files = FILES.iter();
    files
        .map(|(format, text)| Golden {
            format: *format,
            lines: text.lines().filter_map(parse_line).collect(),
        })
        .collect()
}

/// Parses a line with a kind and hexadecimal bytes. Returns `None` for comments.
fn parse_line(line: &str) -> Option<(String, Vec<u8>)> {
    let (kind, digits) = line.split_once(' ').filter(|(kind, _)| *kind != "#")?;
    Some((kind.to_owned(), parse_hex(digits)))
}

fn parse_hex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    pairs
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("digits");
            u8::from_str_radix(pair, 16).expect("digits")
        })
        .collect()
}
