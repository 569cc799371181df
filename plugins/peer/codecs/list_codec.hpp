#ifndef MULBERRYRUDDER_PLUGINS_PEER_CODECS_LIST_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_CODECS_LIST_CODEC_HPP

#include "fleet_config_codec.hpp"

#include <vector>

namespace mulberryrudder::wire
{

/// Helpers for lists in Cap'n Proto structs. Thread safety: any thread.
template <class Container>
unsigned size_of(Container const& from)
{
    return static_cast<unsigned>(from.size());
}

/// Writes ids, of text or number, into a list of the same size.
template <class Ids, class List>
void encode_ids(Ids const& from, List to)
{
    unsigned n = 0;
    for (auto const& it : from)
        to.set(n++, it.value());
}

inline void decode_ids(capnp::List<std::uint32_t>::Reader from, std::vector<instance_id>& out)
{
    for (auto const it : from)
        out.emplace_back(it);
}

/// Reads ids into a vector or a set.
template <class Ids>
void decode_ids(capnp::List<capnp::Text>::Reader from, Ids& out)
{
    for (auto const it : from)
        out.insert(out.end(), typename Ids::value_type(decode_text(it)));
}

/// Writes digests into a list of the same size.
template <class List>
void encode_digests(std::vector<digest> const& from, List to)
{
    unsigned n = 0;
    for (auto const& it : from)
        to.set(n++, encode_digest(it));
}

inline void decode_digests(capnp::List<capnp::Data>::Reader from, std::vector<digest>& out)
{
    for (auto const it : from)
        out.push_back(decode_digest(it));
}

/// Writes structs that have an encode() into a list of the same size.
template <class T, class List>
void encode_list(std::vector<T> const& from, List to)
{
    unsigned n = 0;
    for (auto const& it : from)
        encode(it, to[n++]);
}

/// Reads structs that have a decode().
template <class T, class List>
void decode_list(List from, std::vector<T>& out)
{
    for (auto const it : from)
        out.push_back(decode(it));
}

} // namespace mulberryrudder::wire

#endif
