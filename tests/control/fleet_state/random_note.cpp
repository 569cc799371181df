#include "random_note.hpp"

namespace mulberryrudder::control::testing
{

namespace
{

/// Draws the parts of one note at random.
class note_generator
{
public:
    explicit note_generator(random_source& random) : random_(random) {}

    release_note generate(note_number number)
    {
        release_note out{.number = number};
        for (auto n = 1 + pick(3); n != 0; --n)
            (this->*part_adders[pick(std::size(part_adders))])(out);
        return out;
    }

private:
    std::uint64_t pick(std::uint64_t limit) { return random_() % limit; }
    bool coin_flip() { return pick(2) == 0; }

    template <class Id>
    Id random_id(char const* prefix, std::uint64_t n = 3)
    {
        return Id(prefix + std::to_string(pick(n)));
    }
    customer_id customer() { return random_id<customer_id>("c"); }
    route_id route() { return random_id<route_id>("r"); }
    version_id version() { return random_id<version_id>("v"); }
    region_id region() { return random_id<region_id>("g"); }
    digest key() { return sha256("key " + std::to_string(pick(6))); }
    utc_time deadline() { return utc_time(static_cast<std::int64_t>(1 + pick(1000))); }
    per_mille cap() { return per_mille(static_cast<std::int64_t>(1 + pick(1000))); }
    std::int64_t amount() { return static_cast<std::int64_t>(1000 + pick(5) * 1000); }

    link_id link()
    {
        auto const source = region();
        auto destination = region();
        while (destination == source)
            destination = region();
        return {source, destination};
    }

    std::set<customer_id> customers()
    {
        std::set<customer_id> out;
        for (auto n = pick(3); n != 0; --n)
            out.insert(customer());
        return out;
    }

    void add_customer(release_note& note)
    {
        customer_config it{.rate = millitokens_per_second(amount()),
                           .burst = millitokens(amount()),
                           .home = region(),
                           .keys = {}};
        if (coin_flip())
            it.keys.insert(key());
        note.add.customers[customer()] = it;
    }
    void add_key(release_note& note) { note.add.keys[customer()].insert(key()); }
    void add_route(release_note& note)
    {
        note.add.routes[route()] = {coin_flip(), coin_flip(), customers(), version()};
    }
    void add_move(release_note& note) { note.add.moves[route()] = {version(), cap(), deadline()}; }
    void add_link(release_note& note) { note.add.links[link()] = bytes_per_second(amount()); }

    void change_customer(release_note& note)
    {
        auto& it = note.change.customers[customer()];
        if (coin_flip())
            it.rate = millitokens_per_second(amount());
        if (coin_flip())
            it.burst = millitokens(amount());
        if (coin_flip())
            it.home = region();
    }
    void change_route(release_note& note)
    {
        auto& it = note.change.routes[route()];
        if (coin_flip())
            it.open = coin_flip();
        if (coin_flip())
            it.customers = customers();
        if (coin_flip())
            it.version = version();
    }
    void change_move(release_note& note)
    {
        auto& it = note.change.moves[route()];
        if (coin_flip())
            it.cap = cap();
        if (coin_flip())
            it.deadline = deadline();
    }
    void change_link(release_note& note) { note.change.links[link()] = bytes_per_second(amount()); }

    void withdraw_customer(release_note& note) { note.withdraw.customers.insert(customer()); }
    void withdraw_key(release_note& note) { note.withdraw.keys.insert(key_id_of(key())); }
    void withdraw_route(release_note& note) { note.withdraw.routes.insert(route()); }
    void withdraw_move(release_note& note) { note.withdraw.moves.insert(route()); }
    void withdraw_link(release_note& note) { note.withdraw.links.insert(link()); }

    using part_adder = void (note_generator::*)(release_note&);
    static constexpr part_adder part_adders[] = {
        &note_generator::add_customer,  &note_generator::add_key,
        &note_generator::add_route,     &note_generator::add_move,
        &note_generator::add_link,      &note_generator::change_customer,
        &note_generator::change_route,  &note_generator::change_move,
        &note_generator::change_link,   &note_generator::withdraw_customer,
        &note_generator::withdraw_key,  &note_generator::withdraw_route,
        &note_generator::withdraw_move, &note_generator::withdraw_link};

    random_source& random_;
};

} // namespace

release_note random_note(random_source& random, note_number number)
{
    return note_generator(random).generate(number);
}

} // namespace mulberryrudder::control::testing
