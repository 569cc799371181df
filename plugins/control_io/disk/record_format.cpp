#include "record_format.hpp"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <capnp/serialize.h>

#include <algorithm>

namespace mulberryrudder::disk
{

namespace
{

constexpr std::size_t length_size = 4;
constexpr std::size_t checksum_size = 4;
constexpr std::size_t batch_size = 8;
constexpr std::size_t head_size = length_size + checksum_size + batch_size;
/// Longest body; a longer length is taken for a corrupted one.
constexpr std::uint32_t most_body = 256U << 20;

template <class T>
void put(std::string& out, T value)
{
    boost::endian::native_to_little_inplace(value);
    out.append(reinterpret_cast<char const*>(&value), sizeof value);
}

template <class T>
T take(std::string_view from, std::size_t at)
{
    T value{};
    std::copy_n(from.data() + at, sizeof value, reinterpret_cast<char*>(&value));
    return boost::endian::little_to_native(value);
}

std::uint32_t checksum(std::string_view batch_and_body)
{
    boost::crc_32_type crc;
    crc.process_bytes(batch_and_body.data(), batch_and_body.size());
    return crc.checksum();
}

/// Returns the newest batch of all whole records, wherever they begin.
batch_number newest_anywhere(std::string_view bytes)
{
    batch_number newest;
    for (std::size_t at = 0; at + head_size < bytes.size(); ++at)
        if (auto const it = read_record(bytes.substr(at)))
            newest = std::max(newest, it->batch);
    return newest;
}

} // namespace

std::optional<found_record> read_record(std::string_view bytes)
{
    if (bytes.size() < head_size)
        return std::nullopt;
    auto const length = take<std::uint32_t>(bytes, 0);
    if (length == 0 || length > most_body || length > bytes.size() - head_size)
        return std::nullopt;
    auto const covered = bytes.substr(length_size + checksum_size, batch_size + length);
    if (take<std::uint32_t>(bytes, length_size) != checksum(covered))
        return std::nullopt;
    auto const numbered = take<std::uint64_t>(covered, 0);
    return found_record{.batch = batch_number(numbered >> 1),
                        .last = (numbered & 1) != 0,
                        .body = covered.substr(batch_size)};
}

std::uint64_t framed_size(found_record const& record)
{
    return head_size + record.body.size();
}

std::string frame(batch_number batch, bool last, std::string_view body)
{
    std::string covered;
    put(covered, batch.value() << 1 | (last ? 1U : 0U));
    covered += body;
    std::string out;
    put(out, static_cast<std::uint32_t>(body.size()));
    put(out, checksum(covered));
    return out + covered;
}

scan_result scan(std::string_view bytes, batch_number before)
{
    scan_result out{.newest = before};
    std::vector<std::string_view> batch;
    std::uint64_t at = 0;
    while (auto const it = read_record(bytes.substr(at)))
    {
        if (it->batch.value() != out.newest.value() + 1)
            break;
        at += framed_size(*it);
        batch.push_back(it->body);
        if (!it->last)
            continue;
        out.bodies.insert(out.bodies.end(), batch.begin(), batch.end());
        batch.clear();
        out.newest = it->batch;
        out.good_bytes = at;
    }
    auto const rest = bytes.substr(out.good_bytes);
    out.torn = !rest.empty();
    out.corrupt = newest_anywhere(rest).value() > out.newest.value() + 1;
    return out;
}

std::string flatten(capnp::MessageBuilder& message)
{
    auto const words = capnp::messageToFlatArray(message);
    auto const bytes = words.asBytes();
    return {reinterpret_cast<char const*>(bytes.begin()), bytes.size()};
}

} // namespace mulberryrudder::disk
