#include "disk_store.hpp"

#include <mulberryrudder/wire/replica_records.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <exception>

namespace mulberryrudder::disk
{

namespace
{

namespace wired = schema::replica;

constexpr char const* state_name = "state";
constexpr char const* record_name = "record";
constexpr char const* snapshot_name = "snapshot";
constexpr char const* origin_name = "origin";
constexpr char const* probe_name = "probe";
constexpr std::size_t probe_size = 4096;
/// Whole files are framed as a segment of one batch.
constexpr batch_number file_batch_before;
/// Words that one message may hold; a bound against corrupted pointers only.
constexpr std::uint64_t most_words = 64U << 20;

template <class Wire, class T>
std::string encoded(T const& value)
{
    capnp::MallocMessageBuilder message;
    wire::encode(value, message.initRoot<Wire>());
    return flatten(message);
}

boost::leaf::error_id malformed(std::string const& place, char const* cause)
{
    return boost::leaf::new_error(
        failure{.place = place, .expected = std::string("a well-formed record, not: ") + cause});
}

/// Decodes a flat message by `read`, and turns exceptions into errors.
template <class Wire, class Read>
auto decoded(std::string const& place, std::string_view body, Read const& read)
    -> result<decltype(read(std::declval<typename Wire::Reader>()))>
{
    try
    {
        std::vector<capnp::word> words(body.size() / sizeof(capnp::word));
        std::copy_n(body.data(), words.size() * sizeof(capnp::word),
                    reinterpret_cast<char*>(words.data()));
        capnp::FlatArrayMessageReader reader(
            kj::ArrayPtr<capnp::word const>(words.data(), words.size()),
            {.traversalLimitInWords = most_words});
        return read(reader.getRoot<Wire>());
    }
    catch (kj::Exception const& e)
    {
        return malformed(place, e.getDescription().cStr());
    }
    catch (std::exception const& e)
    {
        return malformed(place, e.what());
    }
}

/// Folds the log's records into the entries behind the snapshot.
class entry_collector
{
public:
    explicit entry_collector(control::disk_recovered& into) : into_(into) {}

    result<log_index> take(std::string_view body)
    {
        return decoded<wired::LogRecord>("log", body,
                                         [this](wired::LogRecord::Reader it)
                                         { return it.isEntry() ? add(it) : cut(it); });
    }

private:
    log_index add(wired::LogRecord::Reader from)
    {
        auto it = wire::decode(from.getEntry());
        auto const index = it.index;
        if (into_.base && index <= into_.base->index)
            return index;
        auto const last = into_.entries.empty() ? base_index() : into_.entries.back().index;
        if (index.value() != last.value() + 1)
            throw std::runtime_error("a gap in the log");
        into_.entries.push_back(std::move(it));
        return index;
    }

    log_index cut(wired::LogRecord::Reader from)
    {
        log_index const first(from.getCutFrom());
        std::erase_if(into_.entries,
                      [&](control::log_entry const& it) { return it.index >= first; });
        return first;
    }

    log_index base_index() const { return into_.base ? into_.base->index : log_index(); }

    control::disk_recovered& into_;
};

} // namespace

disk_store::disk_store(file_system& files)
    : files_(files), state_(files, state_name), record_(files, record_name), log_(files)
{
}

result<disk_store::contents> disk_store::recover()
{
    contents out;
    // A process that was killed may have left names that are not on the disk yet.
    BOOST_LEAF_CHECK(files_.sync_folder());
    BOOST_LEAF_AUTO(names, files_.list());
    auto const exists = [&](char const* name)
    { return std::find(names.begin(), names.end(), name) != names.end(); };
    if (!exists(origin_name))
        BOOST_LEAF_CHECK(make_origin());
    BOOST_LEAF_ASSIGN(origin_, files_.origin(origin_name));
    out.recovered.blank = !exists(state_name);
    if (exists(state_name))
        BOOST_LEAF_CHECK(read_state(out.recovered));
    if (exists(record_name))
    {
        auto found = read_record();
        out.is_record_damaged = !found;
        if (found)
            out.recovered.record = std::move(*found);
    }
    if (exists(snapshot_name))
    {
        BOOST_LEAF_AUTO(body, read_whole(snapshot_name));
        BOOST_LEAF_ASSIGN(out.recovered.base,
                          decoded<wired::Snapshot>(snapshot_name, body,
                                                   [](auto it) { return wire::decode(it); }));
    }
    entry_collector entries(out.recovered);
    auto const covered = out.recovered.base ? out.recovered.base->index : log_index();
    BOOST_LEAF_AUTO(found,
                    log_.recover(covered, [&](std::string_view it) { return entries.take(it); }));
    out.cut = found.cut;
    bool const has_log = out.recovered.base || !out.recovered.entries.empty();
    if (out.recovered.blank && has_log)
        return malformed(state_name, "nothing, although there is a log");
    auto const& kept = out.recovered.entries;
    if (!kept.empty() && kept.back().term > out.recovered.state.term)
        return malformed(state_name, "one of an earlier term than the log");
    return out;
}

result<void> disk_store::apply(control::persist const& it)
{
    if (it.state)
        unsynced_state_ = *it.state;
    if (it.cut_from)
    {
        capnp::MallocMessageBuilder message;
        message.initRoot<wired::LogRecord>().setCutFrom(it.cut_from->value());
        log_.add(flatten(message), *it.cut_from);
    }
    for (auto const& entry : it.entries)
    {
        capnp::MallocMessageBuilder message;
        wire::encode(entry, message.initRoot<wired::LogRecord>().initEntry());
        log_.add(flatten(message), entry.index);
    }
    return {};
}

result<void> disk_store::apply(control::persist_snapshot const& it)
{
    BOOST_LEAF_CHECK(sync());
    batch_number const only(file_batch_before.value() + 1);
    auto const body = encoded<wired::Snapshot>(it.base);
    BOOST_LEAF_CHECK(replace_file(files_, snapshot_name, frame(only, true, body)));
    return log_.remove_up_to(it.base.index);
}

result<void> disk_store::apply(control::keep_record const& it)
{
    return record_.write(encoded<wired::Command>(it.contents));
}

result<any_message> disk_store::read_record()
{
    BOOST_LEAF_AUTO(body, record_.recover());
    return decoded<wired::Command>(record_name, body, [](auto it) { return wire::decode(it); });
}

result<void> disk_store::sync()
{
    // The state comes first, so that the log holds no entry of a term that the state does not
    // know. Nothing of a batch is told to others before all of it is synced.
    if (unsynced_state_)
        BOOST_LEAF_CHECK(write_state(*unsynced_state_));
    unsynced_state_.reset();
    return log_.sync();
}

result<void> disk_store::reopen()
{
    BOOST_LEAF_CHECK(probe());
    unsynced_state_.reset();
    state_.reopen();
    record_.reopen();
    return log_.reopen();
}

result<void> disk_store::probe()
{
    {
        BOOST_LEAF_AUTO(file, files_.open(probe_name));
        BOOST_LEAF_CHECK(file->append(std::string(probe_size, '\0')));
        BOOST_LEAF_CHECK(file->sync());
    }
    return files_.remove(probe_name);
}

result<void> disk_store::make_origin()
{
    BOOST_LEAF_AUTO(file, files_.open(origin_name));
    BOOST_LEAF_CHECK(file->sync());
    return files_.sync_folder();
}

result<void> disk_store::read_state(control::disk_recovered& out)
{
    BOOST_LEAF_AUTO(body, state_.recover());
    auto const read = [&](wired::StateFile::Reader it)
    {
        out.copied = it.getOrigin() != origin_;
        return wire::decode(it.getState());
    };
    BOOST_LEAF_ASSIGN(out.state, decoded<wired::StateFile>(state_name, body, read));
    return {};
}

result<void> disk_store::write_state(control::hard_state const& it)
{
    capnp::MallocMessageBuilder message;
    auto file = message.initRoot<wired::StateFile>();
    file.setOrigin(origin_);
    wire::encode(it, file.initState());
    return state_.write(flatten(message));
}

result<std::string> disk_store::read_whole(std::string const& name)
{
    BOOST_LEAF_AUTO(bytes, files_.read(name));
    auto const found = scan(bytes, file_batch_before);
    if (found.torn || found.bodies.size() != 1)
        return malformed(name, "a wrong checksum or length");
    return std::string(found.bodies.front());
}

} // namespace mulberryrudder::disk
