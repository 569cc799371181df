#include "object_decoding.hpp"

#include <mulberryrudder/control/operator_members.hpp>

#include <boost/json/array.hpp>

namespace mulberryrudder::operator_http
{

namespace
{

using namespace control;

void read_peer(json_value const& from, reading const& at, endpoint& out)
{
    kernel::read_value(from, at, kernel::unbounded, out);
}

std::vector<kernel::field_spec<replace_member>> const& replace_rows()
{
    static std::vector<kernel::field_spec<replace_member>> const it{
        row("leaving", &replace_member::leaving, &read_instance, true),
        row("joining", &replace_member::joining, &read_instance, true),
        row("peer", &replace_member::peer, &read_peer, true)};
    return it;
}

decoded decode_list(request_text const&)
{
    return any_message::of(list_members{});
}

boost::json::object to_json(member_status const& it)
{
    return {{"id", it.id.value()},
            {"disk", it.disk.value()},
            {"votes", it.votes},
            {"reachable", it.reachable},
            {"synced", it.synced.value()}};
}

boost::json::object to_json(replacement const& it)
{
    return {{"leaving", it.leaving.value()},
            {"joining", it.joining.value()},
            {"peer", to_string(it.peer)}};
}

template <class T>
boost::json::array list_of(std::vector<T> const& all)
{
    boost::json::array out;
    for (auto const& it : all)
        out.push_back(to_json(it));
    return out;
}

json_answer encode_members(members_listed const& it)
{
    json_answer out;
    out.body = {{"result", "ok"},
                {"term", it.term.value()},
                {"committed", it.committed.value()},
                {"settled", it.settled},
                {"members", list_of(it.members)},
                {"pending", list_of(it.pending)}};
    if (it.leader)
        out.body["leader"] = it.leader->value();
    return out;
}

struct refusal_row
{
    replace_refusal refusal;
    unsigned status;
    std::string_view result;
};

constexpr refusal_row refusal_rows[] = {{replace_refusal::none, 200, "accepted"},
                                        {replace_refusal::not_leader, 421, "not_leader"},
                                        {replace_refusal::unknown_member, 422, "unknown_member"},
                                        {replace_refusal::already_member, 422, "already_member"},
                                        {replace_refusal::not_confirmed, 503, "unknown"}};

json_answer encode_replaced(member_replaced const& it)
{
    json_answer out;
    for (auto const& row : refusal_rows)
    {
        if (row.refusal != it.refusal)
            continue;
        out.status = row.status;
        out.body["result"] = row.result;
    }
    if (it.leader)
        out.body["leader"] = it.leader->value();
    return out;
}

request_codec const list({.method = "GET", .path = "/v1/members", .decode = &decode_list});
request_codec const replace({.method = "POST",
                             .path = "/v1/members/replace",
                             .decode = &decode_object<replace_member, &replace_rows>});
answer_registrar<members_listed, &encode_members> const members_entered;
answer_registrar<member_replaced, &encode_replaced> const replaced_entered;

} // namespace

} // namespace mulberryrudder::operator_http
