/// Measures what leases cost: bytes of renewals and grants per daemon and second with
/// the real codecs, CPU of the control decision core per renewal, the time from a
/// commit to its being in force on the last entry, and the sizes of pushes. Fleets of
/// 11, 150 and 600 entries run on virtual time; a delta stands beside the whole table.
///
/// Usage: lease_bench [--json]

#include <mulberryrudder/wire/codec.hpp>

#include <tests/lease_fleet/lease_fleet.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <chrono>
#include <cstdio>
#include <string_view>

namespace mulberryrudder::test
{

namespace
{

constexpr unsigned sizes[] = {11, 150, 600};
constexpr span measured = seconds(20);
constexpr unsigned customers = 8;
constexpr unsigned routes = 40;

struct figures
{
    unsigned entries = 0;
    std::uint64_t up = 0;   ///< Bytes of renewals.
    std::uint64_t down = 0; ///< Bytes of grants.
    std::uint64_t grants = 0;
    double encode_seconds = 0;
    double renew_seconds = 0;  ///< Of the control decision core, without requests.
    double decide_seconds = 0; ///< The same with requests, most of which ask for a loan.
    std::uint64_t loans = 0;   ///< Questions for tokens.
    double in_force_milliseconds = 0;
    std::uint64_t push_bytes = 0;  ///< Of one delta.
    std::uint64_t whole_bytes = 0; ///< Of the whole configuration instead.
    std::uint64_t pushes = 0;      ///< Sent by control for one commit.
};

/// Bytes of a message as it goes over the wire (unpacked Cap'n Proto).
std::uint64_t size_of(any_message const& body)
{
    auto const* const codec = wire::find_codec(body.type());
    capnp::MallocMessageBuilder message;
    codec->encode(body, message.initRoot<capnp::AnyPointer>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

fleet_config config_of(std::uint64_t generation, unsigned change)
{
    std::map<std::string, std::pair<int, int>> rates;
    for (unsigned n = 0; n != customers; ++n)
        rates["customer-" + std::to_string(n)] = {4000, 4000};
    auto out = lease_fleet::plain_config(generation, rates);
    for (auto& [id, it] : out.customers)
        for (unsigned n = 0; n != 4; ++n)
            it.keys.insert(sha256(id.value() + std::to_string(n + (n == 0 ? change : 0))));
    for (unsigned n = 0; n != routes; ++n)
        out.routes.emplace(route_id("route-" + std::to_string(n)),
                           route_config{.version = version_id("v1")});
    // One key of one customer changes between two generations.
    for (auto it = std::next(out.customers.begin()); it != out.customers.end(); ++it)
        it->second.keys = {sha256(it->first.value())};
    return out;
}

bool all_hold(lease_fleet const& fleet, unsigned entries, generation_id generation)
{
    for (unsigned n = 0; n != entries; ++n)
        if (fleet.view(n).config().generation < generation)
            return false;
    return true;
}

void give_load(lease_fleet& fleet, unsigned entries)
{
    for (unsigned n = 0; n != entries; ++n)
        fleet.probe(n).load = {{.domain = domain_id("d" + std::to_string(n % 18)),
                                .usable = slots(300),
                                .busy = slots(100)}};
}

void count(figures& out, envelope const& it)
{
    auto const start = std::chrono::steady_clock::now();
    auto const bytes = size_of(it.body);
    auto const took = std::chrono::steady_clock::now() - start;
    if (it.body.get<messages::renew_request>() != nullptr)
        out.up += bytes;
    out.loans += it.body.get<messages::borrow_request>() != nullptr ? 1 : 0;
    if (it.body.get<messages::lease_grant>() == nullptr)
        return;
    out.down += bytes;
    ++out.grants;
    out.encode_seconds += std::chrono::duration<double>(took).count();
}

void measure_push(lease_fleet& fleet, figures& out)
{
    fleet.on_message = [&](envelope const& it)
    {
        auto const* const push = it.body.get<messages::config_push>();
        if (push == nullptr || it.from != lease_fleet::control_id(0))
            return;
        ++out.pushes;
        out.push_bytes = size_of(it.body);
    };
    auto const next = std::make_shared<fleet_config const>(config_of(2, 1));
    out.whole_bytes = size_of(any_message::of(messages::config_push{.config = next}));
    fleet.commit(*next);
    auto const start = fleet.now();
    fleet.run_until([&] { return all_hold(fleet, out.entries, generation_id(2)); }, seconds(14));
    out.in_force_milliseconds =
        std::chrono::duration<double, std::milli>(fleet.now() - start).count();
}

figures run(unsigned entries)
{
    figures out{.entries = entries};
    lease_fleet fleet({.entries = entries, .controls = 1, .domains = 18, .domains_per_region = 4});
    fleet.commit(config_of(1, 0));
    give_load(fleet, entries);
    fleet.elect(0);
    fleet.run_for(seconds(8));
    auto const idle = fleet.control_time();
    fleet.run_for(measured);
    auto const before = fleet.control_time();
    out.renew_seconds = (before - idle).count();
    fleet.on_message = [&](envelope const& it) { count(out, it); };
    auto const end = fleet.now() + measured;
    unsigned n = 0;
    while (fleet.now() < end)
    {
        // Each entry gets each customer's requests, twice a second.
        fleet.request(n % entries, "customer-" + std::to_string((n / entries) % customers));
        ++n;
        fleet.run_for(span(seconds(1)) / (2 * customers * entries));
    }
    out.decide_seconds = (fleet.control_time() - before).count();
    measure_push(fleet, out);
    return out;
}

void print(figures const& it, bool json, bool last)
{
    auto const each = std::chrono::duration<double>(measured).count() * it.entries;
    char const* const form =
        json ? "  {\"entries\": %u, \"renewal_bytes_per_second\": %.0f, "
               "\"grant_bytes_per_second\": %.0f, \"encode_microseconds_per_grant\": %.2f, "
               "\"renewals_core_percent\": %.3f, "
               "\"with_loans_core_percent\": %.3f, \"loans_per_second\": %.0f, "
               "\"in_force_milliseconds\": %.0f, \"push_bytes\": %llu, \"whole_bytes\": %llu, "
               "\"pushes_by_control\": %llu}%s\n"
             : "%3u entries: renewals %.0f B/s, grants %.0f B/s a daemon; encoding %.2f us a "
               "grant; control's decisions %.3f%% of a core, with requests "
               "%.3f%% (%.0f loans/s); in force everywhere after %.0f ms; "
               "push of %llu B (whole table %llu B), "
               "%llu sent by control%s\n";
    std::printf(form, it.entries, static_cast<double>(it.up) / each,
                static_cast<double>(it.down) / each,
                it.encode_seconds * 1e6 / static_cast<double>(it.grants),
                100 * it.renew_seconds / std::chrono::duration<double>(measured).count(),
                100 * it.decide_seconds / std::chrono::duration<double>(measured).count(),
                static_cast<double>(it.loans) / std::chrono::duration<double>(measured).count(),
                it.in_force_milliseconds, static_cast<unsigned long long>(it.push_bytes),
                static_cast<unsigned long long>(it.whole_bytes),
                static_cast<unsigned long long>(it.pushes), json && !last ? "," : "");
}

} // namespace

} // namespace mulberryrudder::test

int main(int argc, char** argv)
{
    using namespace mulberryrudder::test;
    bool const json = argc > 1 && std::string_view(argv[1]) == "--json";
    if (json)
        std::printf("[\n");
    for (auto const& entries : sizes)
        print(run(entries), json, &entries == std::end(sizes) - 1);
    if (json)
        std::printf("]\n");
}
