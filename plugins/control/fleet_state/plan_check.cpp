#include "plan_check.hpp"

#include <algorithm>

namespace mulberryrudder::control::internal
{

namespace
{

constexpr std::size_t max_name_length = 48;
constexpr std::size_t max_comment_bytes = 1000;
constexpr millitokens_per_second max_rate{1'000'000'000'000};
constexpr millitokens max_burst{1'000'000'000'000};
constexpr bytes_per_second max_link_cap{1'000'000'000'000'000};
constexpr std::size_t min_key_prefix_digits = 8;
constexpr std::size_t max_key_prefix_digits = 64;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}

bool is_name(std::string const& text)
{
    // Names are parts of paths, in which `.` and `..` have a meaning of their own.
    return !text.empty() && text.size() <= max_name_length && text != "." && text != ".." &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_key_prefix(std::string const& text)
{
    auto const is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() >= min_key_prefix_digits && text.size() <= max_key_prefix_digits &&
           std::all_of(text.begin(), text.end(), is_digit);
}

/// Checks the parts of one note. The places of its failures are paths in the note.
class note_checker
{
public:
    note_checker(release_note const& note, failures& failed) : note_(note), failed_(failed) {}

    void check()
    {
        check_number_and_comment();
        check_added();
        check_changed();
        check_withdrawn();
        check_names_once();
    }

private:
    void require(bool holds, std::string place, std::string expected)
    {
        if (!holds)
            failed_.push_back({.place = std::move(place), .expected = std::move(expected)});
    }

    template <class Id>
    void require_name(Id const& id, std::string const& place)
    {
        require(is_name(id.value()), place,
                "a name of 1 to 48 letters, digits, '-', '_' or '.', not only dots");
    }

    void require_rate(millitokens_per_second rate, std::string const& place)
    {
        require(rate > millitokens_per_second(0) && rate <= max_rate, place,
                "a rate above 0 and up to 1000000000 requests per second");
    }

    void require_burst(millitokens burst, std::string const& place)
    {
        require(burst >= request_cost && burst <= max_burst, place,
                "a burst of 1 to 1000000000 requests, since a smaller one admits none");
    }

    void require_cap(per_mille cap, std::string const& place)
    {
        require(cap > per_mille(0) && cap <= whole_share, place, "a cap of 1 to 1000 per mille");
    }

    void require_deadline(utc_time deadline, std::string const& place)
    {
        require(deadline > utc_time(0), place, "a time after 1970");
    }

    void require_link(link_id const& id, std::string const& place)
    {
        require_name(id.from, place + "/from");
        require_name(id.to, place + "/to");
        require(id.from != id.to, place, "a link between two regions");
    }

    void require_link_cap(bytes_per_second cap, std::string const& place)
    {
        require(cap > bytes_per_second(0) && cap <= max_link_cap, place + "/cap",
                "a cap above 0 bytes per second");
    }

    void require_names(std::set<customer_id> const& names, std::string const& place)
    {
        for (auto const& it : names)
            require_name(it, place);
    }

    void check_number_and_comment()
    {
        require(note_.number > note_number(0), "/number", "a number above 0");
        require(note_.comment.size() <= max_comment_bytes, "/comment", "at most 1000 bytes");
    }

    void check_added()
    {
        for (auto const& [id, it] : note_.add.customers)
            check_customer(id, it, "/add/customers/" + id.value());
        for (auto const& [id, keys] : note_.add.keys)
            require(!keys.empty(), "/add/keys/" + id.value(), "at least one key");
        for (auto const& [id, it] : note_.add.routes)
        {
            auto const place = "/add/routes/" + id.value();
            require_name(id, place);
            require_name(it.version, place + "/version");
            require_names(it.customers, place + "/customers");
        }
        for (auto const& [id, it] : note_.add.moves)
        {
            auto const place = "/add/moves/" + id.value();
            require_name(it.version, place + "/version");
            require_cap(it.cap, place + "/cap");
            require_deadline(it.deadline, place + "/deadline");
        }
        check_links(note_.add.links, "/add/links/");
    }

    void check_customer(customer_id const& id, customer_config const& it, std::string const& place)
    {
        require_name(id, place);
        require_rate(it.rate, place + "/rate");
        require_burst(it.burst, place + "/burst");
        require_name(it.home, place + "/home");
    }

    void check_links(std::map<link_id, bytes_per_second> const& links, std::string const& place)
    {
        for (auto const& [id, cap] : links)
        {
            auto const link_place = place + id.from.value() + ":" + id.to.value();
            require_link(id, link_place);
            require_link_cap(cap, link_place);
        }
    }

    void check_changed()
    {
        for (auto const& [id, it] : note_.change.customers)
        {
            auto const place = "/change/customers/" + id.value();
            if (it.rate)
                require_rate(*it.rate, place + "/rate");
            if (it.burst)
                require_burst(*it.burst, place + "/burst");
            if (it.home)
                require_name(*it.home, place + "/home");
        }
        for (auto const& [id, it] : note_.change.routes)
        {
            auto const place = "/change/routes/" + id.value();
            if (it.version)
                require_name(*it.version, place + "/version");
            if (it.customers)
                require_names(*it.customers, place + "/customers");
        }
        for (auto const& [id, it] : note_.change.moves)
        {
            auto const place = "/change/moves/" + id.value();
            if (it.cap)
                require_cap(*it.cap, place + "/cap");
            if (it.deadline)
                require_deadline(*it.deadline, place + "/deadline");
        }
        check_links(note_.change.links, "/change/links/");
    }

    void check_withdrawn()
    {
        for (auto const& it : note_.withdraw.keys)
            require(is_key_prefix(it.value()), "/withdraw/keys",
                    "8 to 64 hexadecimal digits, lower case, of a key's digest");
    }

    /// Refuses a name in two parts of one note, since that is most likely a mistake.
    void check_names_once()
    {
        require_disjoint(note_.add.customers, note_.change.customers, "/change/customers/");
        require_disjoint(note_.add.customers, note_.withdraw.customers, "/withdraw/customers/");
        require_disjoint(note_.change.customers, note_.withdraw.customers, "/withdraw/customers/");
        require_disjoint(note_.add.customers, note_.add.keys, "/add/keys/");
        require_disjoint(note_.add.routes, note_.change.routes, "/change/routes/");
        require_disjoint(note_.add.routes, note_.withdraw.routes, "/withdraw/routes/");
        require_disjoint(note_.change.routes, note_.withdraw.routes, "/withdraw/routes/");
        require_disjoint(note_.add.moves, note_.change.moves, "/change/moves/");
        require_disjoint(note_.change.moves, note_.withdraw.moves, "/withdraw/moves/");
        require_disjoint(note_.add.links, note_.change.links, "/change/links/");
        require_disjoint(note_.add.links, note_.withdraw.links, "/withdraw/links/");
        require_disjoint(note_.change.links, note_.withdraw.links, "/withdraw/links/");
    }

    static std::string to_text(link_id const& id) { return id.from.value() + ":" + id.to.value(); }
    template <class Id>
    static std::string to_text(Id const& id)
    {
        return id.value();
    }
    template <class Id, class T>
    static Id const& id_of(std::pair<Id const, T> const& it)
    {
        return it.first;
    }
    template <class Id>
    static Id const& id_of(Id const& it)
    {
        return it;
    }

    template <class A, class B>
    void require_disjoint(A const& a, B const& b, std::string const& place)
    {
        for (auto const& it : b)
            require(!a.contains(id_of(it)), place + to_text(id_of(it)),
                    "a name that stands in one part of the note only");
    }

    release_note const& note_;
    failures& failed_;
};

void check_keys(fleet_config const& config, failures& failed)
{
    std::map<digest, customer_id> owners;
    for (auto const& [id, it] : config.customers)
        for (auto const& key : it.keys)
            if (!owners.emplace(key, id).second)
                failed.push_back({.place = "/add/keys/" + id.value(),
                                  .expected = "keys of one customer each; " +
                                              key_id_of(key).value() + " is also one of " +
                                              owners.at(key).value()});
}

void check_routes(fleet_config const& config, failures& failed)
{
    for (auto const& [id, it] : config.routes)
        for (auto const& customer : it.customers)
            if (!config.customers.contains(customer))
                failed.push_back(
                    {.place = "/routes/" + id.value() + "/customers/" + customer.value(),
                     .expected = "a customer that exists after this note"});
}

void check_moves(fleet_plan const& plan, failures& failed)
{
    for (auto const& [id, it] : plan.moves)
    {
        auto const route = plan.config->routes.find(id);
        if (route == plan.config->routes.end())
            failed.push_back({.place = "/moves/" + id.value(),
                              .expected = "a route that exists after this note"});
        else if (route->second.version == it.terms.version)
            failed.push_back({.place = "/moves/" + id.value() + "/version",
                              .expected = "another version than the route has"});
    }
}

} // namespace

void check_note(release_note const& note, failures& failed)
{
    note_checker(note, failed).check();
}

void check_plan(fleet_plan const& plan, failures& failed)
{
    check_keys(*plan.config, failed);
    check_routes(*plan.config, failed);
    check_moves(plan, failed);
}

} // namespace mulberryrudder::control::internal
