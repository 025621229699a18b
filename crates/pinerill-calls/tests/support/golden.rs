//! Bytes that builds of each format wrote.

const FILES: [(u8, &str); 5] = [
    (4, include_str!("../golden/format-4.txt")),
    (5, include_str!("../golden/format-5.txt")),
    (6, include_str!("../golden/format-6.txt")),
    (7, include_str!("../golden/format-7.txt")),
    (8, include_str!("../golden/format-8.txt")),
];

/// What the build of one format wrote.
pub struct Golden {
    pub format: u8,
    lines: Vec<(String, Vec<u8>)>,
}

impl Golden {
    /// All bytes of a kind, in order.
    pub fn entries<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.lines.iter();
        lines
            .filter(move |(one, _)| one == kind)
            .map(|(_, bytes)| bytes.as_slice())
    }
}

/// Those of all formats.
pub fn all() -> Vec<Golden> {
    let files = FILES.iter();
    files
        .map(|(format, text)| Golden {
            format: *format,
            lines: text.lines().filter_map(line).collect(),
        })
        .collect()
}

fn line(line: &str) -> Option<(String, Vec<u8>)> {
    let (kind, digits) = line.split_once(' ').filter(|(kind, _)| *kind != "#")?;
    Some((kind.to_owned(), bytes(digits)))
}

fn bytes(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    pairs
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("digits");
            u8::from_str_radix(pair, 16).expect("digits")
        })
        .collect()
}
