#include <mulberryrudder/control/release_note.hpp>

namespace mulberryrudder::control
{

namespace
{

/// Encodes a note without ambiguity: two notes have the same bytes only if their content is
/// equal. Each text is preceded by its length, each list by its size, and each optional value
/// by whether it is present.
class canonical_encoder
{
public:
    void put(std::uint64_t value)
    {
        for (int shift = 0; shift != 64; shift += 8)
            encoded_.push_back(static_cast<char>((value >> shift) & 0xff));
    }
    void put(std::int64_t value) { put(static_cast<std::uint64_t>(value)); }
    void put(bool value) { put(std::uint64_t{value}); }
    void put(std::string const& value)
    {
        put(std::uint64_t{value.size()});
        encoded_ += value;
    }
    void put(digest const& value) { put(to_hex(value)); }
    void put(link_id const& value)
    {
        put(value.from);
        put(value.to);
    }

    template <class Tag, class Rep>
    void put(strong_id<Tag, Rep> const& value)
    {
        put(value.value());
    }
    template <class Tag, class Rep>
    void put(quantity<Tag, Rep> value)
    {
        put(value.count());
    }
    template <class T>
    void put(std::optional<T> const& value)
    {
        put(value.has_value());
        if (value)
            put(*value);
    }
    template <class T>
    void put(std::set<T> const& values)
    {
        put(std::uint64_t{values.size()});
        for (auto const& it : values)
            put(it);
    }
    template <class Key, class T>
    void put(std::map<Key, T> const& values)
    {
        put(std::uint64_t{values.size()});
        for (auto const& [key, it] : values)
        {
            put(key);
            put(it);
        }
    }

    void put(customer_config const& it) { put_all(it.rate, it.burst, it.home, it.keys); }
    void put(customer_change const& it) { put_all(it.rate, it.burst, it.home); }
    void put(route_terms const& it) { put_all(it.open, it.idempotent, it.customers, it.version); }
    void put(route_change const& it) { put_all(it.open, it.idempotent, it.customers, it.version); }
    void put(move_terms const& it) { put_all(it.version, it.cap, it.deadline); }
    void put(move_change const& it) { put_all(it.cap, it.deadline); }
    void put(note_additions const& it)
    {
        put_all(it.customers, it.keys, it.routes, it.moves, it.links);
    }
    void put(note_changes const& it) { put_all(it.customers, it.routes, it.moves, it.links); }
    void put(note_withdrawals const& it)
    {
        put_all(it.customers, it.keys, it.routes, it.moves, it.links);
    }

    template <class... T>
    void put_all(T const&... values)
    {
        (put(values), ...);
    }

    std::string const& encoded() const { return encoded_; }

private:
    std::string encoded_;
};

} // namespace

key_prefix key_id_of(digest const& key)
{
    constexpr std::size_t key_id_digits = 12;
    return key_prefix(to_hex(key).substr(0, key_id_digits));
}

digest content_digest(release_note const& note)
{
    canonical_encoder encoder;
    encoder.put_all(note.number, note.based_on, note.comment, note.add, note.change, note.withdraw);
    return sha256(encoder.encoded());
}

} // namespace mulberryrudder::control
