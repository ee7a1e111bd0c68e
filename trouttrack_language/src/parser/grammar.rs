//! The rules, one function each.

use crate::command::{Assignment, Command, Kind, Table, Verb, Why, is_bare};
use crate::query::{Condition, Direction, Op, Order, Query};
use winnow::ascii::{digit1, multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, eof, fail, opt, preceded, repeat, terminated};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

type Input<'a> = LocatingSlice<&'a str>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn word_context(word: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::StringLiteral(word))
}

/// A word without quotes.
fn bare<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., is_bare).parse_next(input)
}

/// Exactly this word, with nothing stuck to it.
fn keyword<'a>(word: &'static str) -> impl FnMut(&mut Input<'a>) -> ModalResult<()> {
    move |input: &mut Input<'a>| {
        bare.verify(move |w: &str| w == word)
            .void()
            .context(word_context(word))
            .parse_next(input)
    }
}

/// Blanks, then something that must follow.
fn then<'a, O>(
    mut parser: impl ModalParser<Input<'a>, O, winnow::error::ContextError>,
) -> impl FnMut(&mut Input<'a>) -> ModalResult<O> {
    move |input: &mut Input<'a>| cut_err(preceded(multispace0, parser.by_ref())).parse_next(input)
}

/// A word of a table of words.
fn one_of<'a, T: Copy>(
    words: &'static [(T, &'static str)],
) -> impl FnMut(&mut Input<'a>) -> ModalResult<T> {
    move |input: &mut Input<'a>| {
        for (value, word) in words {
            if opt(keyword(word)).parse_next(input)?.is_some() {
                return Ok(*value);
            }
        }
        let mut error = winnow::error::ContextError::new();
        let start = winnow::stream::Stream::checkpoint(input);
        for (_, word) in words {
            error =
                winnow::error::AddContext::add_context(error, input, &start, word_context(word));
        }
        Err(winnow::error::ErrMode::Backtrack(error))
    }
}

fn name(input: &mut Input<'_>) -> ModalResult<String> {
    bare.map(str::to_owned)
        .context(expected("a name"))
        .parse_next(input)
}

fn number(input: &mut Input<'_>) -> ModalResult<u64> {
    digit1
        .parse_to()
        .context(expected("a number"))
        .parse_next(input)
}

fn value(input: &mut Input<'_>) -> ModalResult<String> {
    let quoted = delimited('"', take_while(0.., |c| c != '"'), cut_err('"'));
    alt((quoted, bare))
        .map(str::to_owned)
        .context(expected("a value"))
        .parse_next(input)
}

/// The whole of a command, with blanks around it.
pub(super) fn command(input: &mut Input<'_>) -> ModalResult<Command> {
    multispace0.parse_next(input)?;
    let verb = cut_err(one_of(Verb::WORDS)).parse_next(input)?;
    let command = rest_of(verb, input)?;
    let end = preceded(multispace0, eof).context(expected("the end of the command"));
    cut_err(end).parse_next(input)?;
    Ok(command)
}

fn rest_of(verb: Verb, input: &mut Input<'_>) -> ModalResult<Command> {
    match verb {
        Verb::Show => query.map(Command::Show).parse_next(input),
        Verb::Watch => query.map(Command::Watch).parse_next(input),
        Verb::Why => why(input),
        Verb::Create => create(input),
        Verb::Set => set(input),
        Verb::Delete => delete(input),
        Verb::Drain => upstream_name.map(Command::Drain).parse_next(input),
        Verb::Undrain => upstream_name.map(Command::Undrain).parse_next(input),
        Verb::Evacuate => then(name).map(Command::Evacuate).parse_next(input),
        Verb::TakeBack => then(name).map(Command::TakeBack).parse_next(input),
        Verb::Diff => diff(input),
        Verb::Undo => then(number).map(Command::Undo).parse_next(input),
    }
}

fn query(input: &mut Input<'_>) -> ModalResult<Query> {
    let table = then(one_of(Table::WORDS)).parse_next(input)?;
    let conditions =
        opt(preceded((multispace1, keyword("where")), conditions)).parse_next(input)?;
    let order = opt(preceded((multispace1, keyword("order")), order)).parse_next(input)?;
    let limit = opt(preceded((multispace1, keyword("limit")), then(number))).parse_next(input)?;
    Ok(Query {
        table,
        conditions: conditions.unwrap_or_default(),
        order,
        limit: limit.map(|n| n as usize),
    })
}

fn conditions(input: &mut Input<'_>) -> ModalResult<Vec<Condition>> {
    let first = then(condition).parse_next(input)?;
    let more: Vec<Condition> = repeat(
        0..,
        preceded((multispace1, keyword("and")), then(condition)),
    )
    .parse_next(input)?;
    Ok(std::iter::once(first).chain(more).collect())
}

fn condition(input: &mut Input<'_>) -> ModalResult<Condition> {
    let field = field(input)?;
    let op = then(op).parse_next(input)?;
    let value = then(value).parse_next(input)?;
    Ok(Condition { field, op, value })
}

fn field(input: &mut Input<'_>) -> ModalResult<String> {
    take_while(1.., |c: char| c.is_alphanumeric() || c == '_')
        .map(str::to_owned)
        .context(expected("a field"))
        .parse_next(input)
}

fn op(input: &mut Input<'_>) -> ModalResult<Op> {
    for (op, sign) in Op::SIGNS {
        if opt(*sign).parse_next(input)?.is_some() {
            return Ok(*op);
        }
    }
    fail.context(expected("a comparison (= != < <= > >= ~)"))
        .parse_next(input)
}

fn order(input: &mut Input<'_>) -> ModalResult<Order> {
    then(keyword("by")).parse_next(input)?;
    let field = then(field).parse_next(input)?;
    let word = opt(preceded(
        multispace1,
        alt((
            keyword("desc").value(Direction::Descending),
            keyword("asc").value(Direction::Ascending),
        )),
    ))
    .parse_next(input)?;
    Ok(Order {
        field,
        direction: word.unwrap_or_default(),
    })
}

fn why(input: &mut Input<'_>) -> ModalResult<Command> {
    #[derive(Clone, Copy)]
    enum What {
        Request,
        Upstream,
    }
    const WHAT: &[(What, &str)] = &[(What::Request, "request"), (What::Upstream, "upstream")];
    let what = then(one_of(WHAT)).parse_next(input)?;
    let name = then(name).parse_next(input)?;
    Ok(Command::Why(match what {
        What::Request => Why::Request(name),
        What::Upstream => Why::Upstream(name),
    }))
}

fn kind_and_name(input: &mut Input<'_>) -> ModalResult<(Kind, String)> {
    let kind = then(one_of(Kind::WORDS)).parse_next(input)?;
    let name = then(name).parse_next(input)?;
    Ok((kind, name))
}

fn assignment(input: &mut Input<'_>) -> ModalResult<Assignment> {
    let field = field(input)?;
    cut_err('=')
        .context(expected("`=` and a value"))
        .parse_next(input)?;
    let value = cut_err(value).parse_next(input)?;
    Ok(Assignment { field, value })
}

fn assignments(input: &mut Input<'_>) -> ModalResult<Vec<Assignment>> {
    let first = then(assignment).parse_next(input)?;
    let more: Vec<Assignment> = repeat(0.., preceded(multispace1, assignment)).parse_next(input)?;
    Ok(std::iter::once(first).chain(more).collect())
}

fn create(input: &mut Input<'_>) -> ModalResult<Command> {
    let (kind, name) = kind_and_name(input)?;
    let list = assignments(input)?;
    Ok(Command::Create(kind, name, list))
}

fn set(input: &mut Input<'_>) -> ModalResult<Command> {
    let (kind, name) = kind_and_name(input)?;
    let list = assignments(input)?;
    Ok(Command::Set(kind, name, list))
}

fn delete(input: &mut Input<'_>) -> ModalResult<Command> {
    let (kind, name) = kind_and_name(input)?;
    Ok(Command::Delete(kind, name))
}

/// `drain NAME`, or `drain upstream NAME`.
fn upstream_name(input: &mut Input<'_>) -> ModalResult<String> {
    opt(terminated(
        preceded(multispace0, keyword("upstream")),
        multispace1,
    ))
    .parse_next(input)?;
    then(name).parse_next(input)
}

fn diff(input: &mut Input<'_>) -> ModalResult<Command> {
    let from = then(number).parse_next(input)?;
    let to = opt(preceded(multispace1, number)).parse_next(input)?;
    Ok(Command::Diff(from, to))
}
