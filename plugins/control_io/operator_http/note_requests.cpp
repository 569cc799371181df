#include "note_codec.hpp"
#include "state_json.hpp"

#include <mulberryrudder/control/operator_notes.hpp>
#include <mulberryrudder/control_io/operator_codec.hpp>

#include <boost/json/array.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <charconv>

namespace mulberryrudder::operator_http
{

namespace
{

using namespace control;

/// Decodes a note and makes a request of it, or the answer that refuses it.
template <class Request>
decoded decode_with_note(request_text const& from)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<decoded>
        {
            BOOST_LEAF_AUTO(note, decode_note(from.body));
            return decoded(any_message::of(Request{std::move(note), from.now}));
        },
        [](failures const& failed) -> decoded { return refuse(failed); },
        []() -> decoded { return refuse({{.place = "note", .expected = "a release note"}}); });
}

decoded decode_query(request_text const& from)
{
    std::uint64_t n = 0;
    auto const* const end = from.name.data() + from.name.size();
    auto const read = std::from_chars(from.name.data(), end, n);
    if (read.ec != std::errc() || read.ptr != end)
        return refuse({{.place = "path", .expected = "a note's number"}});
    return any_message::of(note_query{note_number(n)});
}

struct outcome_row
{
    change_outcome outcome;
    unsigned status;
    std::string_view name;
};

constexpr outcome_row outcome_rows[] = {{change_outcome::accepted, 200, "accepted"},
                                        {change_outcome::unchanged, 200, "unchanged"},
                                        {change_outcome::refused, 422, "refused"},
                                        {change_outcome::conflict, 409, "conflict"}};

json_answer encode_note_answer(note_answer const& it)
{
    auto out = encode_result(it.result);
    out.body["number"] = it.number.value();
    return out;
}

json_answer encode_preview(note_preview const& it)
{
    auto out = encode_result(it.result);
    out.body["number"] = it.number.value();
    boost::json::array differences;
    for (auto const& difference : it.differences)
        differences.push_back(boost::json::object{{"place", difference.place},
                                                  {"before", difference.before},
                                                  {"after", difference.after}});
    out.body["differences"] = std::move(differences);
    return out;
}

json_answer encode_found(note_found const& it)
{
    if (!it.record)
        return {.status = 404, .body = {{"result", "no_such_note"}, {"number", it.number.value()}}};
    auto body = to_json(*it.record);
    body["result"] = "accepted";
    return {.status = 200, .body = std::move(body)};
}

request_codec const
    submit({.method = "POST", .path = "/v1/notes", .decode = &decode_with_note<note_submission>});
request_codec const
    check({.method = "POST", .path = "/v1/notes/check", .decode = &decode_with_note<note_check>});
request_codec const
    find({.method = "GET", .path = "/v1/notes", .named = true, .decode = &decode_query});
answer_registrar<note_answer, &encode_note_answer> const note_answer_entered;
answer_registrar<note_preview, &encode_preview> const preview_entered;
answer_registrar<note_found, &encode_found> const found_entered;

} // namespace

boost::json::object to_json(note_record const& it)
{
    return {{"number", it.number.value()},
            {"content", "sha256:" + to_hex(it.content)},
            {"generation", it.generation.value()},
            {"comment", it.comment}};
}

json_answer encode_result(change_result const& it)
{
    json_answer out;
    for (auto const& row : outcome_rows)
    {
        if (row.outcome != it.outcome)
            continue;
        out.status = row.status;
        out.body["result"] = row.name;
    }
    out.body["generation"] = it.generation.value();
    if (!it.failed.empty())
        out.body["errors"] = to_json(it.failed);
    if (it.outcome == change_outcome::conflict && it.winner)
        out.body["winner"] = to_json(*it.winner);
    return out;
}

} // namespace mulberryrudder::operator_http
