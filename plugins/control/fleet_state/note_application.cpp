#include "note_application.hpp"

#include "plan_check.hpp"

namespace mulberryrudder::control::internal
{

namespace
{

template <class T>
void replace_if_present(T& value, std::optional<T> const& change)
{
    if (change)
        value = *change;
}

/// Applies the parts of one note to a copy of the plan: withdrawals first, then changes, then
/// additions.
class note_applier
{
public:
    note_applier(fleet_plan const& before, release_note const& note)
        : note_(note), config_(*before.config), moves_(before.moves)
    {
        config_.generation = generation_id(config_.generation.value() + 1);
    }

    applied_note apply()
    {
        check_note(note_, failed_);
        for (auto const apply_step : steps)
            (this->*apply_step)();
        fleet_plan after{std::make_shared<fleet_config const>(std::move(config_)),
                         std::move(moves_)};
        check_plan(after, failed_);
        return {std::move(after), std::move(ended_), std::move(failed_)};
    }

private:
    void fail(std::string place, std::string expected)
    {
        failed_.push_back({.place = std::move(place), .expected = std::move(expected)});
    }

    /// Returns the entry with this id; adds a failure and returns null if there is none.
    template <class Id, class T>
    T* find_existing(std::map<Id, T>& entries, Id const& id, std::string const& place,
                     char const* kind)
    {
        auto const it = entries.find(id);
        if (it != entries.end())
            return &it->second;
        fail(place, std::string("a ") + kind + " that exists");
        return nullptr;
    }

    /// Adds an entry, or adds a failure if the id exists already.
    template <class Id, class T>
    void add_new(std::map<Id, T>& entries, Id const& id, T value, std::string const& place,
                 char const* kind)
    {
        if (!entries.emplace(id, std::move(value)).second)
            fail(place, std::string("a new name: there is such a ") + kind + " already");
    }

    static std::string text_of(link_id const& id) { return id.from.value() + ":" + id.to.value(); }

    void withdraw_moves()
    {
        for (auto const& id : note_.withdraw.moves)
        {
            auto* const it =
                find_existing(moves_, id, "/withdraw/moves/" + id.value(), "running move");
            if (it == nullptr)
                continue;
            ended_.push_back(
                {.move = {id, it->note},
                 .order = *it,
                 .outcome = move_outcome::withdrawn,
                 .evidence = "withdrawn by note " + std::to_string(note_.number.value()),
                 .ended = config_.generation});
            moves_.erase(id);
            clear_next(id);
        }
    }

    /// Ends the move of the route: the old version gets all of its requests.
    void clear_next(route_id const& id)
    {
        auto const it = config_.routes.find(id);
        if (it == config_.routes.end())
            return;
        it->second.next = version_id();
        it->second.next_share = per_mille(0);
    }

    void withdraw_keys()
    {
        std::vector<std::pair<customer_id, digest>> withdrawn;
        for (auto const& prefix : note_.withdraw.keys)
        {
            auto const matches = keys_matching(prefix);
            if (matches.size() == 1)
                withdrawn.push_back(matches.front());
            else
                fail("/withdraw/keys/" + prefix.value().substr(0, shown_key_digits),
                     "digits that fit one key in force; they fit " +
                         std::to_string(matches.size()));
        }
        for (auto const& [customer, key] : withdrawn)
            config_.customers.at(customer).keys.erase(key);
    }

    /// Returns all keys in force whose digest starts with these digits, with their customers.
    std::vector<std::pair<customer_id, digest>> keys_matching(key_prefix const& prefix) const
    {
        std::vector<std::pair<customer_id, digest>> out;
        for (auto const& [id, it] : config_.customers)
            for (auto const& key : it.keys)
                if (to_hex(key).starts_with(prefix.value()))
                    out.emplace_back(id, key);
        return out;
    }

    void withdraw_customers()
    {
        for (auto const& id : note_.withdraw.customers)
            if (config_.customers.erase(id) == 0)
                fail("/withdraw/customers/" + id.value(), "a customer that exists");
    }

    void withdraw_routes()
    {
        for (auto const& id : note_.withdraw.routes)
            if (config_.routes.erase(id) == 0)
                fail("/withdraw/routes/" + id.value(), "a route that exists");
    }

    void withdraw_links()
    {
        for (auto const& id : note_.withdraw.links)
            if (config_.link_caps.erase(id) == 0)
                fail("/withdraw/links/" + text_of(id), "a link that has a cap");
    }

    void change_customers()
    {
        for (auto const& [id, change] : note_.change.customers)
        {
            auto* const it =
                find_existing(config_.customers, id, "/change/customers/" + id.value(), "customer");
            if (it == nullptr)
                continue;
            replace_if_present(it->rate, change.rate);
            replace_if_present(it->burst, change.burst);
            replace_if_present(it->home, change.home);
        }
    }

    void change_routes()
    {
        for (auto const& [id, change] : note_.change.routes)
        {
            auto const place = "/change/routes/" + id.value();
            auto* const it = find_existing(config_.routes, id, place, "route");
            if (it == nullptr)
                continue;
            if (change.version && moves_.contains(id))
                fail(place + "/version", "no version while a move runs on the route: "
                                         "withdraw the move first");
            replace_if_present(it->open, change.open);
            replace_if_present(it->idempotent, change.idempotent);
            replace_if_present(it->customers, change.customers);
            replace_if_present(it->version, change.version);
        }
    }

    void change_moves()
    {
        for (auto const& [id, change] : note_.change.moves)
        {
            auto const place = "/change/moves/" + id.value();
            auto* const it = find_existing(moves_, id, place, "running move");
            if (it == nullptr)
                continue;
            replace_if_present(it->terms.cap, change.cap);
            replace_if_present(it->terms.deadline, change.deadline);
            it->since = config_.generation;
            auto const route = config_.routes.find(id);
            if (route != config_.routes.end())
                route->second.next_share = std::min(route->second.next_share, it->terms.cap);
        }
    }

    void change_links()
    {
        for (auto const& [id, cap] : note_.change.links)
            if (auto* const it = find_existing(config_.link_caps, id,
                                               "/change/links/" + text_of(id), "link with a cap"))
                *it = cap;
    }

    void add_customers()
    {
        for (auto const& [id, it] : note_.add.customers)
            add_new(config_.customers, id, it, "/add/customers/" + id.value(), "customer");
    }

    void add_keys()
    {
        for (auto const& [id, keys] : note_.add.keys)
        {
            auto const place = "/add/keys/" + id.value();
            auto* const it = find_existing(config_.customers, id, place, "customer");
            if (it == nullptr)
                continue;
            for (auto const& key : keys)
                if (!it->keys.insert(key).second)
                    fail(place, "new keys; " + key_id_of(key).value() + " is in force already");
        }
    }

    void add_routes()
    {
        for (auto const& [id, it] : note_.add.routes)
        {
            route_config const config{.open = it.open,
                                      .idempotent = it.idempotent,
                                      .customers = it.customers,
                                      .version = it.version,
                                      .next = {},
                                      .next_share = {}};
            add_new(config_.routes, id, config, "/add/routes/" + id.value(), "route");
        }
    }

    void add_moves()
    {
        for (auto const& [id, terms] : note_.add.moves)
        {
            auto const place = "/add/moves/" + id.value();
            auto* const route = find_existing(config_.routes, id, place, "route");
            if (route == nullptr)
                continue;
            move_order const order{.terms = terms,
                                   .note = note_.number,
                                   .from = route->version,
                                   .since = config_.generation};
            if (!moves_.emplace(id, order).second)
            {
                fail(place, "a route without a running move: change or withdraw that one");
                continue;
            }
            route->next = terms.version;
            route->next_share = per_mille(0);
        }
    }

    void add_links()
    {
        for (auto const& [id, cap] : note_.add.links)
            add_new(config_.link_caps, id, cap, "/add/links/" + text_of(id), "link with a cap");
    }

    /// Withdrawals come first, so that a note can replace what it withdraws.
    using step = void (note_applier::*)();
    static constexpr step steps[] = {
        &note_applier::withdraw_moves,     &note_applier::withdraw_keys,
        &note_applier::withdraw_customers, &note_applier::withdraw_routes,
        &note_applier::withdraw_links,     &note_applier::change_customers,
        &note_applier::change_routes,      &note_applier::change_moves,
        &note_applier::change_links,       &note_applier::add_customers,
        &note_applier::add_keys,           &note_applier::add_routes,
        &note_applier::add_moves,          &note_applier::add_links};
    static constexpr std::size_t shown_key_digits = 12;

    release_note const& note_;
    fleet_config config_;
    std::map<route_id, move_order> moves_;
    std::vector<ended_move> ended_;
    failures failed_;
};

} // namespace

applied_note apply_note(fleet_plan const& before, release_note const& note)
{
    return note_applier(before, note).apply();
}

} // namespace mulberryrudder::control::internal
