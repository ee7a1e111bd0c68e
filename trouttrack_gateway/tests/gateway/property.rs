//! Whatever a caller sends, parsing ends and says something sensible.

use proptest::prelude::*;
use trouttrack_gateway::request::{Ask, Face, Handle, Sealer};

fn json_like() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<bool>().prop_map(|b| b.to_string()),
        any::<i64>().prop_map(|n| n.to_string()),
        "[a-z\\\\u0000\"]{0,12}".prop_map(|s| format!("{s:?}")),
    ];
    let field = prop_oneof![
        Just("model"),
        Just("prompt"),
        Just("messages"),
        Just("stream"),
        Just("n"),
        Just("max_tokens"),
        Just("other"),
    ];
    leaf.prop_recursive(3, 24, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(|v| format!("[{}]", v.join(","))),
            prop::collection::vec((field.clone(), inner), 0..6).prop_map(|v| {
                let fields: Vec<String> = v.iter().map(|(k, v)| format!("\"{k}\":{v}")).collect();
                format!("{{{}}}", fields.join(","))
            }),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_parsed_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for face in [Face::Completion, Face::Chat] {
            let _ = Ask::parse(face, &bytes);
        }
    }

    #[test]
    fn what_is_parsed_reaches_the_engine_with_our_fields(text in json_like()) {
        for face in [Face::Completion, Face::Chat] {
            let Ok(ask) = Ask::parse(face, text.as_bytes()) else { continue };
            let body = ask.to_engine("m", "s-1", 2, 77);
            let sent: serde_json::Value = serde_json::from_slice(&body).unwrap();
            prop_assert_eq!(&sent["model"], "m");
            prop_assert_eq!(&sent["stream_id"], "s-1");
            prop_assert_eq!(&sent["stream"], true);
            prop_assert_eq!(&sent["priority"], 2);
            prop_assert_eq!(&sent["max_tokens"], 77);
        }
    }

    #[test]
    fn a_handle_that_was_changed_is_not_opened(
        organisation in "[a-z]{1,12}",
        place in any::<prop::sample::Index>(),
        flip in 1u8..=255,
    ) {
        let sealer = Sealer::new("secret");
        let handle = Handle {
            request: "r-1".into(),
            organisation,
            service: "s".into(),
            upstream: "e".into(),
            stream: "x".into(),
            generation: 3,
            chat: false,
        };
        let mut text = sealer.seal(&handle).into_bytes();
        prop_assert_eq!(sealer.open(std::str::from_utf8(&text).unwrap()), Ok(handle.clone()));
        let i = place.index(text.len());
        text[i] ^= flip;
        if let Ok(changed) = std::str::from_utf8(&text) {
            prop_assert!(sealer.open(changed).is_err());
        }
    }

    #[test]
    fn any_text_is_no_handle(text in ".{0,80}") {
        prop_assert!(Sealer::new("secret").open(&text).is_err());
    }
}
