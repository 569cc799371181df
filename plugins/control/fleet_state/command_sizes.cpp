#include <mulberryrudder/control/command_size.hpp>
#include <mulberryrudder/control/fleet_snapshot.hpp>

namespace mulberryrudder::control
{

namespace
{

/// About the bytes of an element of a map with its node and short strings.
constexpr std::size_t element_bytes = 192;
/// About the bytes of a set's element with its node.
constexpr std::size_t set_element_bytes = 64;

byte_count bytes(std::size_t n)
{
    return byte_count(static_cast<std::int64_t>(n));
}

byte_count size_of_commit(commit_note const& it)
{
    auto const& [number, base, comment, add, change, withdraw] = it.note;
    std::size_t const elements = add.customers.size() + add.routes.size() + add.moves.size() +
                                 add.links.size() + change.customers.size() + change.routes.size() +
                                 change.moves.size() + change.links.size();
    std::size_t set_elements = withdraw.customers.size() + withdraw.keys.size() +
                               withdraw.routes.size() + withdraw.moves.size() +
                               withdraw.links.size();
    for (auto const& [id, customer] : add.customers)
        set_elements += customer.keys.size();
    for (auto const& [id, keys] : add.keys)
        set_elements += keys.size();
    for (auto const& [id, route] : add.routes)
        set_elements += route.customers.size();
    for (auto const& [id, route] : change.routes)
        set_elements += route.customers ? route.customers->size() : 0;
    return bytes(sizeof it + comment.size() + elements * element_bytes +
                 set_elements * set_element_bytes);
}

byte_count size_of_snapshot(fleet_snapshot const& it)
{
    auto const& config = *it.plan.config;
    std::size_t out = sizeof it + (config.customers.size() + config.routes.size() +
                                   it.plan.moves.size() + it.notes.size() + it.ended.size()) *
                                      element_bytes;
    for (auto const& [id, customer] : config.customers)
        out += customer.keys.size() * set_element_bytes;
    for (auto const& [id, route] : config.routes)
        out += route.customers.size() * set_element_bytes;
    for (auto const& [number, note] : it.notes)
        out += note.comment.size();
    for (auto const& move : it.ended)
        out += move.evidence.size();
    return bytes(out);
}

command_size_registrar<commit_note, &size_of_commit> const commit_entered;
command_size_registrar<fleet_snapshot, &size_of_snapshot> const snapshot_entered;

} // namespace

} // namespace mulberryrudder::control
