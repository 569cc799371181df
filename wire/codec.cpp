#include <mulberryrudder/wire/codec.hpp>

#include <map>
#include <stdexcept>
#include <string>

namespace mulberryrudder::wire
{

namespace
{

struct codec_table
{
    std::map<message_kind, message_codec> by_kind;
    std::map<std::type_index, message_kind> by_type;
};

codec_table& table()
{
    static codec_table it;
    return it;
}

} // namespace

void add_codec(message_codec const& added)
{
    bool const new_kind = table().by_kind.emplace(added.kind, added).second;
    bool const new_type = table().by_type.emplace(added.type, added.kind).second;
    if (!new_kind || !new_type)
        throw std::logic_error("message kind " + std::to_string(added.kind.value()) +
                               " has a codec already");
}

message_codec const* find_codec(message_kind kind)
{
    auto const it = table().by_kind.find(kind);
    return it == table().by_kind.end() ? nullptr : &it->second;
}

message_codec const* find_codec(std::type_index type)
{
    auto const it = table().by_type.find(type);
    return it == table().by_type.end() ? nullptr : find_codec(it->second);
}

} // namespace mulberryrudder::wire
