#include <plugins/control_io/disk/disk_store.hpp>

#include <mulberryrudder/messages/replica.hpp>

#include <benchmark/benchmark.h>
#include <boost/filesystem/operations.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <vector>

/// Measures the disk of a control instance on the folder for temporary files.
namespace mulberryrudder::disk::testing
{

namespace
{

namespace fs = boost::filesystem;

constexpr std::size_t command_voters = 7; ///< Makes a command of about 300 bytes.

control::log_entry entry(std::uint64_t index)
{
    messages::membership_changed command;
    command.members.voters.resize(command_voters);
    return {.term = term_id(1),
            .index = log_index(index),
            .command = any_message::of(std::move(command))};
}

template <class Step>
void require(Step const& step)
{
    boost::leaf::try_handle_all(
        step, [](failure const& it) { throw std::runtime_error(it.place + ": " + it.expected); },
        [] { throw std::runtime_error("another error"); });
}

class temporary_folder
{
public:
    temporary_folder() : path_(fs::temp_directory_path() / fs::unique_path("bench-%%%%%%%%")) {}
    ~temporary_folder() { fs::remove_all(path_); }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string path() const { return path_.string(); }

private:
    fs::path path_;
};

struct open_store
{
    explicit open_store(std::string const& path)
    {
        require(
            [&]() -> result<void>
            {
                BOOST_LEAF_ASSIGN(files, open_folder(path));
                store = std::make_unique<disk_store>(*files);
                BOOST_LEAF_ASSIGN(found, store->recover());
                return {};
            });
    }

    void write(std::uint64_t first, std::uint64_t count, bool with_state = false)
    {
        control::persist it;
        if (with_state)
            it.state = control::hard_state{.term = term_id(1)};
        for (std::uint64_t n = 0; n != count; ++n)
            it.entries.push_back(entry(first + n));
        require(
            [&]() -> result<void>
            {
                BOOST_LEAF_CHECK(store->apply(it));
                return store->sync();
            });
    }

    std::unique_ptr<file_system> files;
    std::unique_ptr<disk_store> store;
    disk_store::contents found;
};

void report_percentiles(benchmark::State& state, std::vector<double>& spent)
{
    std::sort(spent.begin(), spent.end());
    state.counters["p50_us"] = spent[spent.size() / 2];
    state.counters["p99_us"] = spent[spent.size() * 99 / 100];
    state.counters["max_us"] = spent.back();
}

double microseconds_since(std::chrono::steady_clock::time_point begun)
{
    std::chrono::duration<double, std::micro> const spent =
        std::chrono::steady_clock::now() - begun;
    return spent.count();
}

/// Appends and syncs a batch of entries: what a commit costs on each disk.
void synced_append(benchmark::State& state)
{
    temporary_folder const folder;
    open_store store(folder.path());
    auto const batch = static_cast<std::uint64_t>(state.range(0));
    std::uint64_t next = 1;
    std::vector<double> spent;
    for (auto _ : state)
    {
        auto const begun = std::chrono::steady_clock::now();
        store.write(next, batch);
        spent.push_back(microseconds_since(begun));
        next += batch;
    }
    report_percentiles(state, spent);
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(synced_append)->Arg(1)->Arg(16)->Arg(128)->Iterations(300)->UseRealTime();

/// The naive way: the whole state in one file that each change replaces.
void naive_whole_file(benchmark::State& state)
{
    temporary_folder const folder;
    open_store store(folder.path());
    control::snapshot whole{.term = term_id(1), .index = log_index(1)};
    for (std::uint64_t n = 1; n <= 500; ++n)
        whole.parts.push_back(entry(n).command);
    std::vector<double> spent;
    for (auto _ : state)
    {
        auto const begun = std::chrono::steady_clock::now();
        require([&] { return store.store->apply(control::persist_snapshot{.base = whole}); });
        spent.push_back(microseconds_since(begun));
    }
    report_percentiles(state, spent);
}
BENCHMARK(naive_whole_file)->Iterations(300)->UseRealTime();

/// Reads the folder after a number of changes, as a restart does.
void recovery(benchmark::State& state)
{
    temporary_folder const folder;
    auto const changes = static_cast<std::uint64_t>(state.range(0));
    {
        open_store store(folder.path());
        store.write(1, 1, true);
        for (std::uint64_t n = 2; n <= changes; ++n)
            store.write(n, 1);
    }
    for (auto _ : state)
    {
        open_store const store(folder.path());
        if (store.found.recovered.entries.size() != changes)
            state.SkipWithError("entries were lost");
    }
}
BENCHMARK(recovery)->Arg(500)->Iterations(20)->UseRealTime()->Unit(benchmark::kMillisecond);

} // namespace

} // namespace mulberryrudder::disk::testing

BENCHMARK_MAIN();
