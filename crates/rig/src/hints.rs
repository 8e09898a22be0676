//! What a statement's comment says of its request, as the links and db hosts see it.

/// The names that matter to the rig's checkers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hints {
    /// `id`.
    pub id: String,
    /// `c`: the class.
    pub class: String,
    /// `ch`: the channel.
    pub channel: Option<String>,
    /// `n`: the number in it.
    pub number: Option<u64>,
    /// `k`: the key.
    pub key: Option<String>,
    /// `d`: how long an answer is waited for, in milliseconds.
    pub wait_ms: Option<u64>,
}

impl Hints {
    /// Those of a statement; none if it has no comment with an `id`.
    #[must_use]
    pub fn of(statement: &str) -> Option<Self> {
        let listed = statement.rsplit_once("/*")?.1.split_once("*/")?.0;
        let mut hints = Self::default();
        for (name, value) in listed.trim().split(',').filter_map(|pair| pair.split_once('=')) {
            match name {
                "id" => value.clone_into(&mut hints.id),
                "c" => value.clone_into(&mut hints.class),
                "ch" => hints.channel = Some(value.to_owned()),
                "n" => hints.number = value.parse().ok(),
                "d" => hints.wait_ms = value.parse().ok(),
                "k" => hints.key = Some(value.to_owned()),
                _ => {}
            }
        }
        (!hints.id.is_empty()).then_some(hints)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_read_from_the_comment_alone() {
        let hints = Hints::of("INSERT '/*' /* id=9a,d=50,c=order,ch=c7,n=12,k=x1 */").expect("a comment");
        let wanted = Hints {
            id: "9a".into(),
            class: "order".into(),
            channel: Some("c7".into()),
            number: Some(12),
            key: Some("x1".into()),
            wait_ms: Some(50),
        };
        assert_eq!(hints, wanted);
        assert_eq!((Hints::of("SHOW load"), Hints::of("SELECT 1 /* c=view */")), (None, None));
    }
}
