#include "release_note_codec.hpp"

#include "fleet_config_codec.hpp"

namespace mulberryrudder::wire
{

namespace
{

template <class All>
unsigned count_of(All const& all)
{
    return static_cast<unsigned>(all.size());
}

template <class Id>
void encode_ids(std::set<Id> const& from, capnp::List<capnp::Text>::Builder to)
{
    unsigned n = 0;
    for (auto const& it : from)
        to.set(n++, it.value());
}

template <class Id>
std::set<Id> decode_ids(capnp::List<capnp::Text>::Reader from)
{
    std::set<Id> out;
    for (auto const it : from)
        out.insert(Id(decode_text(it)));
    return out;
}

void encode_links(std::map<link_id, bytes_per_second> const& from,
                  capnp::List<schema::LinkCap>::Builder to)
{
    unsigned n = 0;
    for (auto const& [id, cap] : from)
        encode_link(id, cap, to[n++]);
}

std::map<link_id, bytes_per_second> decode_links(capnp::List<schema::LinkCap>::Reader from)
{
    std::map<link_id, bytes_per_second> out;
    for (auto const it : from)
        out.emplace(decode_link(it), bytes_per_second(it.getCap()));
    return out;
}

route_config as_config(control::route_terms const& from)
{
    return {.open = from.open,
            .idempotent = from.idempotent,
            .customers = from.customers,
            .version = from.version,
            .next = {},
            .next_share = {}};
}

control::route_terms as_terms(route_config from)
{
    return {.open = from.open,
            .idempotent = from.idempotent,
            .customers = std::move(from.customers),
            .version = std::move(from.version)};
}

void encode_additions(control::note_additions const& from, schema::ReleaseNote::Builder to)
{
    unsigned n = 0;
    auto customers = to.initAddCustomers(count_of(from.customers));
    for (auto const& [id, it] : from.customers)
        encode_customer(id, it, customers[n++]);
    n = 0;
    auto keys = to.initAddKeys(count_of(from.keys));
    for (auto const& [id, it] : from.keys)
    {
        auto row = keys[n++];
        row.setCustomer(id.value());
        encode_digests(it, row.initKeys(count_of(it)));
    }
    n = 0;
    auto routes = to.initAddRoutes(count_of(from.routes));
    for (auto const& [id, it] : from.routes)
        encode_route(id, as_config(it), routes[n++]);
    n = 0;
    auto moves = to.initAddMoves(count_of(from.moves));
    for (auto const& [id, it] : from.moves)
    {
        auto row = moves[n++];
        row.setRoute(id.value());
        encode_terms(it, row.initTerms());
    }
    encode_links(from.links, to.initAddLinks(count_of(from.links)));
}

control::note_additions decode_additions(schema::ReleaseNote::Reader from)
{
    control::note_additions out;
    for (auto const it : from.getAddCustomers())
        out.customers.emplace(customer_id(decode_text(it.getId())), decode_customer(it));
    for (auto const it : from.getAddKeys())
        out.keys.emplace(customer_id(decode_text(it.getCustomer())), decode_digests(it.getKeys()));
    for (auto const it : from.getAddRoutes())
        out.routes.emplace(route_id(decode_text(it.getId())), as_terms(decode_route(it)));
    for (auto const it : from.getAddMoves())
        out.moves.emplace(route_id(decode_text(it.getRoute())), decode_terms(it.getTerms()));
    out.links = decode_links(from.getAddLinks());
    return out;
}

void encode_customer_change(customer_id const& id, control::customer_change const& from,
                            schema::CustomerChange::Builder to)
{
    to.setId(id.value());
    to.setHasRate(from.rate.has_value());
    to.setRate(from.rate.value_or(millitokens_per_second()).count());
    to.setHasBurst(from.burst.has_value());
    to.setBurst(from.burst.value_or(millitokens()).count());
    to.setHasHome(from.home.has_value());
    to.setHome(from.home.value_or(region_id()).value());
}

control::customer_change decode_customer_change(schema::CustomerChange::Reader from)
{
    control::customer_change out;
    if (from.getHasRate())
        out.rate = millitokens_per_second(from.getRate());
    if (from.getHasBurst())
        out.burst = millitokens(from.getBurst());
    if (from.getHasHome())
        out.home = region_id(decode_text(from.getHome()));
    return out;
}

void encode_route_change(route_id const& id, control::route_change const& from,
                         schema::RouteChange::Builder to)
{
    to.setId(id.value());
    to.setHasOpen(from.open.has_value());
    to.setOpen(from.open.value_or(false));
    to.setHasIdempotent(from.idempotent.has_value());
    to.setIdempotent(from.idempotent.value_or(false));
    to.setHasCustomers(from.customers.has_value());
    if (from.customers)
        encode_ids(*from.customers, to.initCustomers(count_of(*from.customers)));
    to.setHasVersion(from.version.has_value());
    to.setVersion(from.version.value_or(version_id()).value());
}

control::route_change decode_route_change(schema::RouteChange::Reader from)
{
    control::route_change out;
    if (from.getHasOpen())
        out.open = from.getOpen();
    if (from.getHasIdempotent())
        out.idempotent = from.getIdempotent();
    if (from.getHasCustomers())
        out.customers = decode_ids<customer_id>(from.getCustomers());
    if (from.getHasVersion())
        out.version = version_id(decode_text(from.getVersion()));
    return out;
}

void encode_move_change(route_id const& id, control::move_change const& from,
                        schema::MoveChange::Builder to)
{
    to.setRoute(id.value());
    to.setHasCap(from.cap.has_value());
    to.setCap(static_cast<std::uint16_t>(from.cap.value_or(per_mille()).count()));
    to.setHasDeadline(from.deadline.has_value());
    to.setDeadline(from.deadline.value_or(control::utc_time()).value());
}

control::move_change decode_move_change(schema::MoveChange::Reader from)
{
    control::move_change out;
    if (from.getHasCap())
        out.cap = per_mille(from.getCap());
    if (from.getHasDeadline())
        out.deadline = control::utc_time(from.getDeadline());
    return out;
}

void encode_changes(control::note_changes const& from, schema::ReleaseNote::Builder to)
{
    unsigned n = 0;
    auto customers = to.initChangeCustomers(count_of(from.customers));
    for (auto const& [id, it] : from.customers)
        encode_customer_change(id, it, customers[n++]);
    n = 0;
    auto routes = to.initChangeRoutes(count_of(from.routes));
    for (auto const& [id, it] : from.routes)
        encode_route_change(id, it, routes[n++]);
    n = 0;
    auto moves = to.initChangeMoves(count_of(from.moves));
    for (auto const& [id, it] : from.moves)
        encode_move_change(id, it, moves[n++]);
    encode_links(from.links, to.initChangeLinks(count_of(from.links)));
}

control::note_changes decode_changes(schema::ReleaseNote::Reader from)
{
    control::note_changes out;
    for (auto const it : from.getChangeCustomers())
        out.customers.emplace(customer_id(decode_text(it.getId())), decode_customer_change(it));
    for (auto const it : from.getChangeRoutes())
        out.routes.emplace(route_id(decode_text(it.getId())), decode_route_change(it));
    for (auto const it : from.getChangeMoves())
        out.moves.emplace(route_id(decode_text(it.getRoute())), decode_move_change(it));
    out.links = decode_links(from.getChangeLinks());
    return out;
}

void encode_withdrawals(control::note_withdrawals const& from, schema::ReleaseNote::Builder to)
{
    encode_ids(from.customers, to.initWithdrawCustomers(count_of(from.customers)));
    encode_ids(from.keys, to.initWithdrawKeys(count_of(from.keys)));
    encode_ids(from.routes, to.initWithdrawRoutes(count_of(from.routes)));
    encode_ids(from.moves, to.initWithdrawMoves(count_of(from.moves)));
    auto links = to.initWithdrawLinks(count_of(from.links));
    unsigned n = 0;
    for (auto const& it : from.links)
        encode_link(it, bytes_per_second(), links[n++]);
}

control::note_withdrawals decode_withdrawals(schema::ReleaseNote::Reader from)
{
    control::note_withdrawals out;
    out.customers = decode_ids<customer_id>(from.getWithdrawCustomers());
    out.keys = decode_ids<control::key_prefix>(from.getWithdrawKeys());
    out.routes = decode_ids<route_id>(from.getWithdrawRoutes());
    out.moves = decode_ids<route_id>(from.getWithdrawMoves());
    for (auto const it : from.getWithdrawLinks())
        out.links.insert(decode_link(it));
    return out;
}

} // namespace

void encode_terms(control::move_terms const& from, schema::MoveTerms::Builder to)
{
    to.setVersion(from.version.value());
    to.setCap(static_cast<std::uint16_t>(from.cap.count()));
    to.setDeadline(from.deadline.value());
}

control::move_terms decode_terms(schema::MoveTerms::Reader from)
{
    return {.version = version_id(decode_text(from.getVersion())),
            .cap = per_mille(from.getCap()),
            .deadline = control::utc_time(from.getDeadline())};
}

void encode_note(control::release_note const& from, schema::ReleaseNote::Builder to)
{
    to.setNumber(from.number.value());
    to.setHasBase(from.based_on.has_value());
    to.setBasedOn(from.based_on.value_or(generation_id()).value());
    to.setComment(from.comment);
    encode_additions(from.add, to);
    encode_changes(from.change, to);
    encode_withdrawals(from.withdraw, to);
}

control::release_note decode_note(schema::ReleaseNote::Reader from)
{
    control::release_note out{.number = note_number(from.getNumber()),
                              .based_on = std::nullopt,
                              .comment = decode_text(from.getComment()),
                              .add = decode_additions(from),
                              .change = decode_changes(from),
                              .withdraw = decode_withdrawals(from)};
    if (from.getHasBase())
        out.based_on = generation_id(from.getBasedOn());
    return out;
}

} // namespace mulberryrudder::wire
