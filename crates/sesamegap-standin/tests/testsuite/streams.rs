//! Answers: whole, continued, resumed, and with every fault of a stream.

use crate::support::{
    ask, dispatch, engine_limits, first_engine, hit_first, incarnation, once, plan, receive,
    request, start, until,
};
use futures_util::StreamExt;
use sesamegap_standin::{Fault, Hit, expected_answer};
use sesamegap_upstream::{Engine, Fault as Why, Ran};
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{Seq, Tokens};
use std::time::Duration;

const COUNT: u64 = 12;

#[tokio::test]
async fn an_answer_is_whole_and_recorded_once() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    let asked = dispatch(&deployment, 1, COUNT);
    let prompt = asked.prompt.clone();
    let received = ask(&engine, asked).await;
    assert!(received.is_whole(&prompt, COUNT), "{received:?}");
    assert_eq!(received.cached, Some(Tokens(0)));
    let executions = deployment.executions();
    assert_eq!(executions.of_request(&request(1)), 1);
    assert_eq!(executions.of_key("key-1"), 1);
}

#[tokio::test]
async fn a_continued_answer_is_the_same_text() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    let mut asked = dispatch(&deployment, 1, COUNT);
    let expected = expected_answer(&asked.prompt, COUNT);
    asked.start = Seq(5);
    asked.prefix = expected[..5].concat();
    let received = ask(&engine, asked).await;
    assert_eq!(received.places(), (5..COUNT).collect::<Vec<_>>());
    let texts: Vec<_> = received.tokens.into_iter().map(|token| token.1).collect();
    assert_eq!(texts, expected[5..]);
}

/// The engine's connection breaks while it writes its first, a middle or its last token. The
/// engine goes on, and a caller who was promised a stream notices a pause at most.
#[tokio::test]
async fn a_broken_stream_is_resumed_where_it_broke() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    for (seq, at) in [(1, 0), (2, COUNT / 2), (3, COUNT - 1)] {
        hit_first(&deployment, Hit::once(Fault::StreamCut).at(at));
        let asked = dispatch(&deployment, seq, COUNT);
        let prompt = asked.prompt.clone();
        let mut first = ask(&engine, asked).await;
        let error = first.error.take().unwrap();
        assert_eq!((error.fault(), error.ran()), (Why::Broken, Ran::Unknown));
        assert_eq!(first.places(), (0..at).collect::<Vec<_>>());

        let rest = engine.resume(&request(seq), 0, Seq(at)).await.unwrap();
        let rest = receive(rest).await;
        first.tokens.extend(rest.tokens);
        first.count = rest.count;
        assert!(first.is_whole(&prompt, COUNT), "{first:?}");
        assert_eq!(deployment.executions().of_request(&request(seq)), 1);
    }
}

/// Something between engine and router doubles, loses or swaps tokens. A router that trusted the
/// order of arrival would hand its caller a garbled answer; the places give it away.
#[tokio::test]
async fn doubled_lost_and_swapped_tokens_show_in_their_places() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    let cases = [
        (Fault::ChunkDouble, vec![0, 1, 1, 2, 3]),
        (Fault::ChunkDrop, vec![0, 2, 3]),
        (Fault::ChunkSwap, vec![0, 2, 1, 3]),
    ];
    for (seq, (fault, places)) in (1..).zip(cases) {
        hit_first(&deployment, Hit::once(fault).at(1));
        let received = ask(&engine, dispatch(&deployment, seq, 4)).await;
        assert_eq!(received.places(), places, "{fault}");
        assert_eq!(received.count, Some(4));
    }
}

/// Something between the two ends forgets the connection in the middle of an answer. Neither end
/// is told; the caller would wait for ever. The silence limit ends the wait, and a new connection
/// brings the rest.
#[tokio::test]
async fn a_mute_connection_is_given_up_and_a_new_one_works() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    let asked = dispatch(&deployment, 1, 2000);
    let prompt = asked.prompt.clone();
    let mut stream = engine.generate(asked).await.unwrap();
    let mut got = Vec::new();
    while got.len() < 3 {
        if let Chunk::Token { seq, text } = stream.next().await.unwrap().unwrap() {
            got.push((seq.0, text));
        }
    }
    once(&deployment, Fault::EngineSilent);
    let mut rest = receive(stream).await;
    let error = rest.error.take().unwrap();
    assert_eq!((error.fault(), error.ran()), (Why::Broken, Ran::Unknown));

    got.append(&mut rest.tokens);
    let from = Seq(got.len() as u64);
    let rest = receive(engine.resume(&request(1), 0, from).await.unwrap()).await;
    got.extend(rest.tokens);
    let texts: Vec<_> = got.into_iter().map(|token| token.1).collect();
    assert_eq!(texts, expected_answer(&prompt, 2000));
    assert_eq!(deployment.executions().of_request(&request(1)), 1);
}

/// Two pooled connections go mute while nobody uses them. The next request is lost in silence,
/// which is all that its caller notices; the one after must not be sent the same way.
#[tokio::test]
async fn mute_pooled_connections_cost_one_request_at_most() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    tokio::join!(
        ask(&engine, dispatch(&deployment, 10, 20)),
        ask(&engine, dispatch(&deployment, 11, 20)),
    );
    once(&deployment, Fault::EngineSilent);
    let lost = engine.generate(dispatch(&deployment, 2, 2)).await;
    let error = lost.err().unwrap();
    assert_eq!((error.fault(), error.ran()), (Why::Broken, Ran::Unknown));
    let asked = dispatch(&deployment, 3, 2);
    let prompt = asked.prompt.clone();
    assert!(ask(&engine, asked).await.is_whole(&prompt, 2));
}

/// The engine's answer comes long after the caller's router has given up on it. It ran, so the
/// router may not say otherwise, and the next request must not be given the late answer.
#[tokio::test]
async fn a_late_answer_is_not_taken_for_the_next_one() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    once(&deployment, Fault::LateAnswer);
    let error = engine.generate(dispatch(&deployment, 1, 2)).await.err();
    let error = error.unwrap();
    assert_eq!((error.fault(), error.ran()), (Why::Broken, Ran::Unknown));
    let mut asked = dispatch(&deployment, 2, 2);
    asked.prompt = "Another one".to_owned();
    assert!(ask(&engine, asked).await.is_whole("Another one", 2));
    assert_eq!(deployment.executions().of_request(&request(1)), 1);
}

/// Two answers get crossed, so that a caller would read the answer to another's dossier.
#[tokio::test]
async fn an_answer_to_another_request_is_discarded() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    once(&deployment, Fault::CrossedAnswer);
    let received = ask(&engine, dispatch(&deployment, 1, 4)).await;
    let error = received.error.unwrap();
    assert_eq!((error.fault(), error.ran()), (Why::Crossed, Ran::Unknown));
    assert_eq!(received.tokens, []);
    let asked = dispatch(&deployment, 2, 4);
    let prompt = asked.prompt.clone();
    assert!(ask(&engine, asked).await.is_whole(&prompt, 4));
}

/// The engine dies in the middle of an answer and comes back empty. The stream breaks, and the new
/// incarnation knows nothing of the request, so the caller's text must be continued elsewhere.
#[tokio::test]
async fn a_crashed_engine_forgets_its_answers() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    let before = incarnation(&deployment);
    let mut stream = engine
        .generate(dispatch(&deployment, 1, 5000))
        .await
        .unwrap();
    while !matches!(stream.next().await.unwrap().unwrap(), Chunk::Token { .. }) {}
    once(&deployment, Fault::EngineCrash);
    let received = receive(stream).await;
    assert_eq!(received.error.unwrap().fault(), Why::Broken);
    assert_eq!(received.count, None);
    assert!(incarnation(&deployment) > before);
    assert_eq!(deployment.engine("engine-1").unwrap().blocks, 0);
    let error = loop {
        let resumed = engine.resume(&request(1), 0, Seq(1)).await;
        let error = resumed.err().unwrap();
        // For a moment after the crash nobody listens.
        if error.fault() != Why::Unreached {
            break error;
        }
    };
    assert_eq!((error.fault(), error.ran()), (Why::Forgotten, Ran::Unknown));
}

/// A caller reads nothing of a long answer for a while. The answer waits on the engine's side, no
/// other request is slowed, and it is whole in the end.
#[tokio::test]
async fn a_slow_reader_holds_up_nobody() {
    let mut limits = engine_limits();
    limits.decode = Duration::ZERO;
    let deployment = start(plan().engine(limits)).await;
    let engine = first_engine(&deployment);
    let asked = dispatch(&deployment, 1, 8000);
    let prompt = asked.prompt.clone();
    let slow = engine.generate(asked).await.unwrap();
    let other = dispatch(&deployment, 2, 4);
    assert!(ask(&engine, other).await.is_whole(&prompt, 4));
    assert!(receive(slow).await.is_whole(&prompt, 8000));
}

#[tokio::test]
async fn a_cancelled_request_ends_and_frees_its_slot() {
    let deployment = start(plan()).await;
    let engine = first_engine(&deployment);
    let stream = engine
        .generate(dispatch(&deployment, 1, 60_000))
        .await
        .unwrap();
    until(|| deployment.engine("engine-1").unwrap().requests == 1).await;
    engine.cancel(&request(1), 0).await.unwrap();
    assert_eq!(receive(stream).await.count, None);
    until(|| deployment.engine("engine-1").unwrap().requests == 0).await;
}
