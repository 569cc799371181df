#include "note_codec.hpp"

#include "duplicate_names.hpp"
#include "value_readers.hpp"

namespace mulberryrudder::operator_http
{

namespace
{

using namespace control;

template <class T>
using rows = std::vector<kernel::field_spec<T>>;

/// Reads an object by its table of members.
template <class T, rows<T> const& (*Table)()>
void read_object(json_value const& from, reading const& at, T& out)
{
    kernel::read_members(from, at, Table(), out);
}

rows<customer_config> const& customer_rows()
{
    static rows<customer_config> const it{
        row("rate", &customer_config::rate, &read_rate, true),
        row("burst", &customer_config::burst, &read_burst, true),
        row("home", &customer_config::home, &read_id<region_id>, true),
        row("keys", &customer_config::keys, &read_set<digest, &read_key>)};
    return it;
}

rows<customer_change> const& customer_change_rows()
{
    static rows<customer_change> const it{row("rate", &customer_change::rate, &read_rate),
                                          row("burst", &customer_change::burst, &read_burst),
                                          row("home", &customer_change::home, &read_id<region_id>)};
    return it;
}

rows<route_terms> const& route_rows()
{
    static rows<route_terms> const it{
        row("open", &route_terms::open, &read_flag),
        row("idempotent", &route_terms::idempotent, &read_flag),
        row("customers", &route_terms::customers, &read_set<customer_id, &read_id<customer_id>>),
        row("version", &route_terms::version, &read_id<version_id>, true)};
    return it;
}

rows<route_change> const& route_change_rows()
{
    static rows<route_change> const it{
        row("open", &route_change::open, &read_flag),
        row("idempotent", &route_change::idempotent, &read_flag),
        row("customers", &route_change::customers, &read_set<customer_id, &read_id<customer_id>>),
        row("version", &route_change::version, &read_id<version_id>)};
    return it;
}

rows<move_terms> const& move_rows()
{
    static rows<move_terms> const it{
        row("version", &move_terms::version, &read_id<version_id>, true),
        row("cap", &move_terms::cap, &read_cap, true),
        row("deadline", &move_terms::deadline, &read_deadline, true)};
    return it;
}

rows<move_change> const& move_change_rows()
{
    static rows<move_change> const it{row("cap", &move_change::cap, &read_cap),
                                      row("deadline", &move_change::deadline, &read_deadline)};
    return it;
}

template <class Id, class T, rows<T> const& (*Table)()>
constexpr auto named_objects = &read_map<Id, T, &read_id<Id>, &read_object<T, Table>>;

constexpr auto links = &read_map<link_id, bytes_per_second, &read_link, &read_link_cap>;

rows<note_additions> const& addition_rows()
{
    static rows<note_additions> const it{
        row("customers", &note_additions::customers,
            named_objects<customer_id, customer_config, &customer_rows>),
        row("keys", &note_additions::keys,
            &read_map<customer_id, std::set<digest>, &read_id<customer_id>,
                      &read_set<digest, &read_key>>),
        row("routes", &note_additions::routes, named_objects<route_id, route_terms, &route_rows>),
        row("moves", &note_additions::moves, named_objects<route_id, move_terms, &move_rows>),
        row("links", &note_additions::links, links)};
    return it;
}

rows<note_changes> const& change_rows()
{
    static rows<note_changes> const it{
        row("customers", &note_changes::customers,
            named_objects<customer_id, customer_change, &customer_change_rows>),
        row("routes", &note_changes::routes,
            named_objects<route_id, route_change, &route_change_rows>),
        row("moves", &note_changes::moves, named_objects<route_id, move_change, &move_change_rows>),
        row("links", &note_changes::links, links)};
    return it;
}

rows<note_withdrawals> const& withdrawal_rows()
{
    static rows<note_withdrawals> const it{
        row("customers", &note_withdrawals::customers,
            &read_set<customer_id, &read_id<customer_id>>),
        row("keys", &note_withdrawals::keys, &read_set<key_prefix, &read_key_prefix>),
        row("routes", &note_withdrawals::routes, &read_set<route_id, &read_id<route_id>>),
        row("moves", &note_withdrawals::moves, &read_set<route_id, &read_id<route_id>>),
        row("links", &note_withdrawals::links, &read_set<link_id, &read_link>)};
    return it;
}

rows<release_note> const& note_rows()
{
    static rows<release_note> const it{
        row("number", &release_note::number, &read_number, true),
        row("based_on", &release_note::based_on, &read_base),
        row("comment", &release_note::comment, &read_text),
        row("add", &release_note::add, &read_object<note_additions, &addition_rows>),
        row("change", &release_note::change, &read_object<note_changes, &change_rows>),
        row("withdraw", &release_note::withdraw, &read_object<note_withdrawals, &withdrawal_rows>)};
    return it;
}

} // namespace

result<release_note> decode_note(std::string_view text)
{
    BOOST_LEAF_AUTO(root, kernel::parse_json(text, "note"));
    failures failed;
    find_duplicate_names(text, failed);
    release_note out;
    kernel::read_members(root, {"", failed}, note_rows(), out);
    if (!failed.empty())
        return boost::leaf::new_error(std::move(failed));
    return out;
}

} // namespace mulberryrudder::operator_http
