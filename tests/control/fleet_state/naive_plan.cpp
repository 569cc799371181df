#include "naive_plan.hpp"

#include <set>
#include <vector>

namespace mulberryrudder::control::testing
{

namespace
{

std::string const present = "present";

template <class T>
std::string text(T const& it)
{
    return std::to_string(it.count());
}

std::string text(bool it)
{
    return it ? "yes" : "no";
}

std::string text(link_id const& it)
{
    return it.from.value() + ":" + it.to.value();
}

/// Edits a flat plan and notes whether anything did not fit.
class naive_editor
{
public:
    explicit naive_editor(naive_plan& plan) : plan_(plan) {}

    bool fits() const { return fits_; }
    void require(bool holds) { fits_ = fits_ && holds; }
    bool has(std::string const& path) const { return plan_.contains(path); }
    std::string at(std::string const& path) const { return has(path) ? plan_.at(path) : ""; }
    void put(std::string const& path, std::string value) { plan_[path] = std::move(value); }

    /// Puts a head line that must be new.
    void create(std::string const& path, std::string const& value = present)
    {
        require(!has(path));
        put(path, value);
    }

    /// Removes a head line that must exist, and all below it.
    void remove(std::string const& path)
    {
        require(has(path));
        plan_.erase(path);
        remove_below(path + "/");
    }

    void remove_below(std::string const& prefix)
    {
        std::erase_if(plan_, [&](auto const& it) { return it.first.starts_with(prefix); });
    }

    std::vector<std::string> below(std::string const& prefix) const
    {
        std::vector<std::string> out;
        for (auto const& [path, value] : plan_)
            if (path.starts_with(prefix))
                out.push_back(path);
        return out;
    }

private:
    naive_plan& plan_;
    bool fits_ = true;
};

void withdraw_key(naive_editor& to, std::string const& prefix, std::set<std::string>& gone)
{
    std::vector<std::string> found;
    for (auto const& path : to.below("c/"))
        if (path.find("/k/" + prefix) != std::string::npos)
            found.push_back(path);
    to.require(found.size() == 1);
    gone.insert(found.begin(), found.end());
}

void withdraw(naive_editor& to, note_withdrawals const& it)
{
    for (auto const& id : it.moves)
    {
        to.remove("m/" + id.value());
        to.put("r/" + id.value() + "/next", "");
        to.put("r/" + id.value() + "/share", "0");
    }
    std::set<std::string> gone;
    for (auto const& prefix : it.keys)
        withdraw_key(to, prefix.value(), gone);
    for (auto const& path : gone)
        to.remove(path);
    for (auto const& id : it.customers)
        to.remove("c/" + id.value());
    for (auto const& id : it.routes)
        to.remove("r/" + id.value());
    for (auto const& id : it.links)
        to.remove("l/" + text(id));
}

void set_customers(naive_editor& to, std::string const& route, std::set<customer_id> const& all)
{
    to.remove_below(route + "/c/");
    for (auto const& id : all)
        to.put(route + "/c/" + id.value(), present);
}

void change(naive_editor& to, note_changes const& it)
{
    for (auto const& [id, by] : it.customers)
    {
        auto const path = "c/" + id.value();
        to.require(to.has(path));
        if (by.rate)
            to.put(path + "/rate", text(*by.rate));
        if (by.burst)
            to.put(path + "/burst", text(*by.burst));
        if (by.home)
            to.put(path + "/home", by.home->value());
    }
    for (auto const& [id, by] : it.routes)
    {
        auto const path = "r/" + id.value();
        to.require(to.has(path));
        if (by.open)
            to.put(path + "/open", text(*by.open));
        if (by.idempotent)
            to.put(path + "/idempotent", text(*by.idempotent));
        if (by.customers)
            set_customers(to, path, *by.customers);
        if (by.version)
            to.put(path + "/version", by.version->value());
        to.require(!by.version || !to.has("m/" + id.value()));
    }
    for (auto const& [id, by] : it.moves)
    {
        auto const path = "m/" + id.value();
        to.require(to.has(path));
        if (by.cap)
            to.put(path + "/cap", text(*by.cap));
        if (by.deadline)
            to.put(path + "/deadline", std::to_string(by.deadline->value()));
        if (by.cap && std::stol("0" + to.at("r/" + id.value() + "/share")) > by.cap->count())
            to.put("r/" + id.value() + "/share", text(*by.cap));
    }
    for (auto const& [id, cap] : it.links)
    {
        to.require(to.has("l/" + text(id)));
        to.put("l/" + text(id), text(cap));
    }
}

void add(naive_editor& to, note_additions const& it, note_number number)
{
    for (auto const& [id, by] : it.customers)
    {
        auto const path = "c/" + id.value();
        to.create(path);
        to.put(path + "/rate", text(by.rate));
        to.put(path + "/burst", text(by.burst));
        to.put(path + "/home", by.home.value());
        for (auto const& key : by.keys)
            to.create(path + "/k/" + to_hex(key));
    }
    for (auto const& [id, keys] : it.keys)
    {
        to.require(to.has("c/" + id.value()));
        for (auto const& key : keys)
            to.create("c/" + id.value() + "/k/" + to_hex(key));
    }
    for (auto const& [id, by] : it.routes)
    {
        auto const path = "r/" + id.value();
        to.create(path);
        to.put(path + "/open", text(by.open));
        to.put(path + "/idempotent", text(by.idempotent));
        set_customers(to, path, by.customers);
        to.put(path + "/version", by.version.value());
        to.put(path + "/next", "");
        to.put(path + "/share", "0");
    }
    for (auto const& [id, by] : it.moves)
    {
        auto const path = "m/" + id.value();
        to.create(path);
        to.put(path + "/version", by.version.value());
        to.put(path + "/cap", text(by.cap));
        to.put(path + "/deadline", std::to_string(by.deadline.value()));
        to.put(path + "/note", std::to_string(number.value()));
        to.put(path + "/from", to.at("r/" + id.value() + "/version"));
        to.put("r/" + id.value() + "/next", by.version.value());
        to.put("r/" + id.value() + "/share", "0");
    }
    for (auto const& [id, cap] : it.links)
        to.create("l/" + text(id), text(cap));
}

/// Refuses a thing that is named in two parts, seen as a list of all names.
void check_named_once(naive_editor& to, release_note const& note)
{
    std::multiset<std::string> named;
    auto const count = [&](std::string const& kind, auto const& all)
    {
        for (auto const& it : all)
            if constexpr (requires { it.first; })
                named.insert(kind + it.first.value());
            else
                named.insert(kind + it.value());
    };
    auto const count_links = [&](auto const& all)
    {
        for (auto const& it : all)
            if constexpr (requires { it.first; })
                named.insert("l/" + text(it.first));
            else
                named.insert("l/" + text(it));
    };
    count("c/", note.add.customers);
    count("c/", note.change.customers);
    count("c/", note.withdraw.customers);
    count("r/", note.add.routes);
    count("r/", note.change.routes);
    count("r/", note.withdraw.routes);
    // A move may be withdrawn and another one added in its place.
    count("m+/", note.add.moves);
    count("m+/", note.change.moves);
    count("m-/", note.change.moves);
    count("m-/", note.withdraw.moves);
    count_links(note.add.links);
    count_links(note.change.links);
    count_links(note.withdraw.links);
    for (auto const& it : named)
        to.require(named.count(it) == 1);
    for (auto const& [id, keys] : note.add.keys)
        to.require(!keys.empty() && !note.add.customers.contains(id));
}

void check_references(naive_editor& to)
{
    std::multiset<std::string> keys;
    for (auto const& path : to.below("c/"))
        if (auto const at = path.find("/k/"); at != std::string::npos)
            keys.insert(path.substr(at));
    for (auto const& it : keys)
        to.require(keys.count(it) == 1);
    for (auto const& path : to.below("r/"))
        if (auto const at = path.find("/c/"); at != std::string::npos)
            to.require(to.has("c/" + path.substr(at + 3)));
    for (auto const& path : to.below("m/"))
    {
        auto const route = "r/" + path.substr(2, path.find('/', 2) - 2);
        to.require(to.has(route));
        if (path.ends_with("/version"))
            to.require(to.at(path) != to.at(route + "/version"));
    }
}

} // namespace

naive_plan flatten(fleet_plan const& from)
{
    naive_plan out;
    naive_editor to(out);
    note_additions all;
    all.customers = from.config->customers;
    for (auto const& [id, it] : from.config->routes)
        all.routes[id] = {it.open, it.idempotent, it.customers, it.version};
    all.links = from.config->link_caps;
    add(to, all, note_number(0));
    for (auto const& [id, it] : from.moves)
    {
        note_additions one;
        one.moves[id] = it.terms;
        add(to, one, it.note);
        to.put("m/" + id.value() + "/from", it.from.value());
    }
    for (auto const& [id, it] : from.config->routes)
    {
        to.put("r/" + id.value() + "/next", it.next.value());
        to.put("r/" + id.value() + "/share", text(it.next_share));
    }
    return out;
}

std::optional<naive_plan> apply_naively(naive_plan plan, release_note const& note)
{
    naive_editor to(plan);
    check_named_once(to, note);
    withdraw(to, note.withdraw);
    change(to, note.change);
    add(to, note.add, note.number);
    check_references(to);
    return to.fits() ? std::optional(plan) : std::nullopt;
}

} // namespace mulberryrudder::control::testing
