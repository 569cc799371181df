#include "random_note.hpp"

namespace mulberryrudder::control::testing
{

namespace
{

/// Draws the parts of one note.
class note_maker
{
public:
    explicit note_maker(random_source& random) : random_(random) {}

    release_note make(note_number number)
    {
        release_note out{.number = number};
        for (auto n = 1 + pick(3); n != 0; --n)
            (this->*parts[pick(std::size(parts))])(out);
        return out;
    }

private:
    std::uint64_t pick(std::uint64_t below) { return random_() % below; }
    bool maybe() { return pick(2) == 0; }

    template <class Id>
    Id name(char const* stem, std::uint64_t n = 3)
    {
        return Id(stem + std::to_string(pick(n)));
    }
    customer_id customer() { return name<customer_id>("c"); }
    route_id route() { return name<route_id>("r"); }
    version_id version() { return name<version_id>("v"); }
    region_id region() { return name<region_id>("g"); }
    digest key() { return sha256("key " + std::to_string(pick(6))); }
    utc_time deadline() { return utc_time(static_cast<std::int64_t>(1 + pick(1000))); }
    per_mille cap() { return per_mille(static_cast<std::int64_t>(1 + pick(1000))); }
    std::int64_t amount() { return static_cast<std::int64_t>(1000 + pick(5) * 1000); }

    link_id link()
    {
        auto const from = region();
        auto to = region();
        while (to == from)
            to = region();
        return {from, to};
    }

    std::set<customer_id> customers()
    {
        std::set<customer_id> out;
        for (auto n = pick(3); n != 0; --n)
            out.insert(customer());
        return out;
    }

    void add_customer(release_note& to)
    {
        customer_config it{.rate = millitokens_per_second(amount()),
                           .burst = millitokens(amount()),
                           .home = region(),
                           .keys = {}};
        if (maybe())
            it.keys.insert(key());
        to.add.customers[customer()] = it;
    }
    void add_key(release_note& to) { to.add.keys[customer()].insert(key()); }
    void add_route(release_note& to)
    {
        to.add.routes[route()] = {maybe(), maybe(), customers(), version()};
    }
    void add_move(release_note& to) { to.add.moves[route()] = {version(), cap(), deadline()}; }
    void add_link(release_note& to) { to.add.links[link()] = bytes_per_second(amount()); }

    void change_customer(release_note& to)
    {
        auto& it = to.change.customers[customer()];
        if (maybe())
            it.rate = millitokens_per_second(amount());
        if (maybe())
            it.burst = millitokens(amount());
        if (maybe())
            it.home = region();
    }
    void change_route(release_note& to)
    {
        auto& it = to.change.routes[route()];
        if (maybe())
            it.open = maybe();
        if (maybe())
            it.customers = customers();
        if (maybe())
            it.version = version();
    }
    void change_move(release_note& to)
    {
        auto& it = to.change.moves[route()];
        if (maybe())
            it.cap = cap();
        if (maybe())
            it.deadline = deadline();
    }
    void change_link(release_note& to) { to.change.links[link()] = bytes_per_second(amount()); }

    void withdraw_customer(release_note& to) { to.withdraw.customers.insert(customer()); }
    void withdraw_key(release_note& to) { to.withdraw.keys.insert(key_id_of(key())); }
    void withdraw_route(release_note& to) { to.withdraw.routes.insert(route()); }
    void withdraw_move(release_note& to) { to.withdraw.moves.insert(route()); }
    void withdraw_link(release_note& to) { to.withdraw.links.insert(link()); }

    using part = void (note_maker::*)(release_note&);
    static constexpr part parts[] = {
        &note_maker::add_customer,      &note_maker::add_key,      &note_maker::add_route,
        &note_maker::add_move,          &note_maker::add_link,     &note_maker::change_customer,
        &note_maker::change_route,      &note_maker::change_move,  &note_maker::change_link,
        &note_maker::withdraw_customer, &note_maker::withdraw_key, &note_maker::withdraw_route,
        &note_maker::withdraw_move,     &note_maker::withdraw_link};

    random_source& random_;
};

} // namespace

release_note random_note(random_source& random, note_number number)
{
    return note_maker(random).make(number);
}

} // namespace mulberryrudder::control::testing
