#include "naive_plan.hpp"

#include <set>
#include <vector>

namespace mulberryrudder::control::testing
{

namespace
{

std::string const present = "present";

template <class T>
std::string to_text(T const& value)
{
    return std::to_string(value.count());
}

std::string to_text(bool value)
{
    return value ? "yes" : "no";
}

std::string to_text(link_id const& id)
{
    return id.from.value() + ":" + id.to.value();
}

/// Edits a naive plan and records whether every edit fits it.
class naive_editor
{
public:
    explicit naive_editor(naive_plan& plan) : plan_(plan) {}

    bool fits() const { return fits_; }
    void require(bool holds) { fits_ = fits_ && holds; }
    bool has(std::string const& path) const { return plan_.contains(path); }
    std::string at(std::string const& path) const { return has(path) ? plan_.at(path) : ""; }
    void put(std::string const& path, std::string value) { plan_[path] = std::move(value); }

    /// Adds the path of an entry, which must be new.
    void create(std::string const& path, std::string const& value = present)
    {
        require(!has(path));
        put(path, value);
    }

    /// Removes the path of an entry, which must exist, and all paths below it.
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

void withdraw_key(naive_editor& editor, std::string const& prefix, std::set<std::string>& keys)
{
    std::vector<std::string> found;
    for (auto const& path : editor.below("c/"))
        if (path.find("/k/" + prefix) != std::string::npos)
            found.push_back(path);
    editor.require(found.size() == 1);
    keys.insert(found.begin(), found.end());
}

void withdraw(naive_editor& editor, note_withdrawals const& withdrawals)
{
    for (auto const& id : withdrawals.moves)
    {
        editor.remove("m/" + id.value());
        editor.put("r/" + id.value() + "/next", "");
        editor.put("r/" + id.value() + "/share", "0");
    }
    std::set<std::string> keys;
    for (auto const& prefix : withdrawals.keys)
        withdraw_key(editor, prefix.value(), keys);
    for (auto const& path : keys)
        editor.remove(path);
    for (auto const& id : withdrawals.customers)
        editor.remove("c/" + id.value());
    for (auto const& id : withdrawals.routes)
        editor.remove("r/" + id.value());
    for (auto const& id : withdrawals.links)
        editor.remove("l/" + to_text(id));
}

void set_customers(naive_editor& editor, std::string const& route,
                   std::set<customer_id> const& customers)
{
    editor.remove_below(route + "/c/");
    for (auto const& id : customers)
        editor.put(route + "/c/" + id.value(), present);
}

void change_customers(naive_editor& editor, note_changes const& changes)
{
    for (auto const& [id, change] : changes.customers)
    {
        auto const path = "c/" + id.value();
        editor.require(editor.has(path));
        if (change.rate)
            editor.put(path + "/rate", to_text(*change.rate));
        if (change.burst)
            editor.put(path + "/burst", to_text(*change.burst));
        if (change.home)
            editor.put(path + "/home", change.home->value());
    }
}

void change_routes(naive_editor& editor, note_changes const& changes)
{
    for (auto const& [id, change] : changes.routes)
    {
        auto const path = "r/" + id.value();
        editor.require(editor.has(path));
        if (change.open)
            editor.put(path + "/open", to_text(*change.open));
        if (change.idempotent)
            editor.put(path + "/idempotent", to_text(*change.idempotent));
        if (change.customers)
            set_customers(editor, path, *change.customers);
        if (change.version)
            editor.put(path + "/version", change.version->value());
        editor.require(!change.version || !editor.has("m/" + id.value()));
    }
}

void change_moves(naive_editor& editor, note_changes const& changes)
{
    for (auto const& [id, change] : changes.moves)
    {
        auto const path = "m/" + id.value();
        editor.require(editor.has(path));
        if (change.cap)
            editor.put(path + "/cap", to_text(*change.cap));
        if (change.deadline)
            editor.put(path + "/deadline", std::to_string(change.deadline->value()));
        if (change.cap &&
            std::stol("0" + editor.at("r/" + id.value() + "/share")) > change.cap->count())
            editor.put("r/" + id.value() + "/share", to_text(*change.cap));
    }
}

void change(naive_editor& editor, note_changes const& changes)
{
    change_customers(editor, changes);
    change_routes(editor, changes);
    change_moves(editor, changes);
    for (auto const& [id, cap] : changes.links)
    {
        editor.require(editor.has("l/" + to_text(id)));
        editor.put("l/" + to_text(id), to_text(cap));
    }
}

void add_customers(naive_editor& editor, note_additions const& additions)
{
    for (auto const& [id, value] : additions.customers)
    {
        auto const path = "c/" + id.value();
        editor.create(path);
        editor.put(path + "/rate", to_text(value.rate));
        editor.put(path + "/burst", to_text(value.burst));
        editor.put(path + "/home", value.home.value());
        for (auto const& key : value.keys)
            editor.create(path + "/k/" + to_hex(key));
    }
    for (auto const& [id, keys] : additions.keys)
    {
        editor.require(editor.has("c/" + id.value()));
        for (auto const& key : keys)
            editor.create("c/" + id.value() + "/k/" + to_hex(key));
    }
}

void add_routes(naive_editor& editor, note_additions const& additions)
{
    for (auto const& [id, value] : additions.routes)
    {
        auto const path = "r/" + id.value();
        editor.create(path);
        editor.put(path + "/open", to_text(value.open));
        editor.put(path + "/idempotent", to_text(value.idempotent));
        set_customers(editor, path, value.customers);
        editor.put(path + "/version", value.version.value());
        editor.put(path + "/next", "");
        editor.put(path + "/share", "0");
    }
}

void add_moves(naive_editor& editor, note_additions const& additions, note_number number)
{
    for (auto const& [id, value] : additions.moves)
    {
        auto const path = "m/" + id.value();
        editor.create(path);
        editor.put(path + "/version", value.version.value());
        editor.put(path + "/cap", to_text(value.cap));
        editor.put(path + "/deadline", std::to_string(value.deadline.value()));
        editor.put(path + "/note", std::to_string(number.value()));
        editor.put(path + "/from", editor.at("r/" + id.value() + "/version"));
        editor.put("r/" + id.value() + "/next", value.version.value());
        editor.put("r/" + id.value() + "/share", "0");
    }
}

void add(naive_editor& editor, note_additions const& additions, note_number number)
{
    add_customers(editor, additions);
    add_routes(editor, additions);
    add_moves(editor, additions, number);
    for (auto const& [id, cap] : additions.links)
        editor.create("l/" + to_text(id), to_text(cap));
}

/// Refuses a note that names an entry in two parts, by counting each name of the note.
void check_names_once(naive_editor& editor, release_note const& note)
{
    std::multiset<std::string> names;
    auto const add_names = [&](std::string const& prefix, auto const& entries)
    {
        for (auto const& it : entries)
            if constexpr (requires { it.first; })
                names.insert(prefix + it.first.value());
            else
                names.insert(prefix + it.value());
    };
    auto const add_links = [&](auto const& entries)
    {
        for (auto const& it : entries)
            if constexpr (requires { it.first; })
                names.insert("l/" + to_text(it.first));
            else
                names.insert("l/" + to_text(it));
    };
    add_names("c/", note.add.customers);
    add_names("c/", note.change.customers);
    add_names("c/", note.withdraw.customers);
    add_names("r/", note.add.routes);
    add_names("r/", note.change.routes);
    add_names("r/", note.withdraw.routes);
    // One note may withdraw the move of a route and add another one.
    add_names("m+/", note.add.moves);
    add_names("m+/", note.change.moves);
    add_names("m-/", note.change.moves);
    add_names("m-/", note.withdraw.moves);
    add_links(note.add.links);
    add_links(note.change.links);
    add_links(note.withdraw.links);
    for (auto const& it : names)
        editor.require(names.count(it) == 1);
    for (auto const& [id, keys] : note.add.keys)
        editor.require(!keys.empty() && !note.add.customers.contains(id));
}

void check_references(naive_editor& editor)
{
    std::multiset<std::string> keys;
    for (auto const& path : editor.below("c/"))
        if (auto const position = path.find("/k/"); position != std::string::npos)
            keys.insert(path.substr(position));
    for (auto const& it : keys)
        editor.require(keys.count(it) == 1);
    for (auto const& path : editor.below("r/"))
        if (auto const position = path.find("/c/"); position != std::string::npos)
            editor.require(editor.has("c/" + path.substr(position + 3)));
    for (auto const& path : editor.below("m/"))
    {
        auto const route = "r/" + path.substr(2, path.find('/', 2) - 2);
        editor.require(editor.has(route));
        if (path.ends_with("/version"))
            editor.require(editor.at(path) != editor.at(route + "/version"));
    }
}

} // namespace

naive_plan flatten(fleet_plan const& plan)
{
    naive_plan out;
    naive_editor editor(out);
    note_additions entries;
    entries.customers = plan.config->customers;
    for (auto const& [id, it] : plan.config->routes)
        entries.routes[id] = {it.open, it.idempotent, it.customers, it.version};
    entries.links = plan.config->link_caps;
    add(editor, entries, note_number(0));
    for (auto const& [id, it] : plan.moves)
    {
        note_additions addition;
        addition.moves[id] = it.terms;
        add(editor, addition, it.note);
        editor.put("m/" + id.value() + "/from", it.from.value());
    }
    for (auto const& [id, it] : plan.config->routes)
    {
        editor.put("r/" + id.value() + "/next", it.next.value());
        editor.put("r/" + id.value() + "/share", to_text(it.next_share));
    }
    return out;
}

std::optional<naive_plan> apply_naively(naive_plan plan, release_note const& note)
{
    naive_editor editor(plan);
    check_names_once(editor, note);
    withdraw(editor, note.withdraw);
    change(editor, note.change);
    add(editor, note.add, note.number);
    check_references(editor);
    return editor.fits() ? std::optional(plan) : std::nullopt;
}

} // namespace mulberryrudder::control::testing
