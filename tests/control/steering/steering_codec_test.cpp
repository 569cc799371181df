#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/messages/roster.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::wire
{

namespace
{

/// Returns a message after it was written and read.
template <class T>
T round_trip(T const& from)
{
    auto const* const codec = find_codec(std::type_index(typeid(T)));
    CPPUNIT_ASSERT(codec != nullptr);
    capnp::MallocMessageBuilder message;
    codec->encode(any_message::of(from), message.initRoot<capnp::AnyPointer>());
    auto const read = codec->decode(message.getRoot<capnp::AnyPointer>().asReader());
    return *read.template get<T>();
}

traffic_plan sample_plan()
{
    traffic_plan out{.number = plan_number(7)};
    out.routes = {{.id = route_id("r"),
                   .host = "h",
                   .path_prefix = "/p/",
                   .repeatable = true,
                   .open = true,
                   .sticky = true,
                   .timeout = milliseconds(1200),
                   .aim = milliseconds(600),
                   .rank = urgency(2),
                   .most_targets = target_count(3),
                   .services = {{service_id("s"), weight(9)}, {service_id("t"), weight(1)}},
                   .homes = {region_id("m")}}};
    out.services = {{.id = service_id("s"),
                     .health_path = "/healthz",
                     .most_connections = connections(390),
                     .warm_up = milliseconds(3000),
                     .warm_up_rate = millitokens_per_second(6100)}};
    out.customers = {{.id = customer_id("c"),
                      .keys = {sha256("k")},
                      .rank = urgency(0),
                      .rate = millitokens_per_second(5),
                      .burst = millitokens(6),
                      .homes = {region_id("e")}}};
    out.keyed = true;
    out.limits = {byte_count(1), byte_count(2), milliseconds(3), milliseconds(4)};
    out.source = "source";
    return out;
}

shared_steering sample_state()
{
    steering_state out{.generation = generation_id(12)};
    out.plan = std::make_shared<traffic_plan const>(sample_plan());
    out.evacuated = {domain_id("m-a")};
    out.versions[service_id("s")] = {.base = version_id("v1"),
                                     .next = version_id("v2"),
                                     .share = per_mille(50),
                                     .phase = rollout_phase::running,
                                     .duration = milliseconds(9000)};
    return std::make_shared<steering_state const>(out);
}

messages::target_notice sample_notice()
{
    return {.id = target_id("t"),
            .start = start_id(1790000000123),
            .sequence = sequence_id(4),
            .service = service_id("s"),
            .where = {"10.0.0.1", 80},
            .domain = domain_id("m-a"),
            .version = version_id("v1"),
            .capacity = slots(9),
            .standing = messages::target_standing::leaving,
            .cold_for = milliseconds(5),
            .age = milliseconds(6)};
}

class steering_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_codec_test);
    CPPUNIT_TEST(a_plan_survives_the_log);
    CPPUNIT_TEST(a_snapshot_survives_the_disk);
    CPPUNIT_TEST(an_exchange_survives_the_wire);
    CPPUNIT_TEST(an_entry_is_told_the_state_without_the_source);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_plan_survives_the_log()
    {
        control::replace_plan const from{
            plan_number(5), std::make_shared<traffic_plan const>(sample_plan()), sha256("source")};
        auto const it = round_trip(from);
        CPPUNIT_ASSERT(it.base == from.base);
        CPPUNIT_ASSERT(*it.plan == *from.plan);
        CPPUNIT_ASSERT(it.content == from.content);
    }

    void a_snapshot_survives_the_disk()
    {
        control::steering_snapshot const from{*sample_state(), {{plan_number(7), sha256("x")}}};
        auto const it = round_trip(from);
        CPPUNIT_ASSERT(it.state.generation == from.state.generation);
        CPPUNIT_ASSERT(*it.state.plan == *from.state.plan);
        CPPUNIT_ASSERT(it.state.evacuated == from.state.evacuated);
        CPPUNIT_ASSERT(it.state.versions == from.state.versions);
        CPPUNIT_ASSERT(it.accepted == from.accepted);
    }

    void an_exchange_survives_the_wire()
    {
        messages::roster_exchange from{.leads = true, .number = sequence_id(3)};
        from.who.id = instance_id(1);
        from.operators = {"10.0.0.1", 81};
        from.targets = {sample_notice()};
        from.entries = {{.who = from.who,
                         .boot = boot_id(2),
                         .sequence = sequence_id(3),
                         .ready = true,
                         .age = milliseconds(4),
                         .demand = {{customer_id("c"), millitokens_per_second(5)}}}};
        from.outcomes = {{.service = service_id("s"),
                          .version = version_id("v2"),
                          .answered = 3,
                          .bad = 1,
                          .late = 2}};
        auto const it = round_trip(from);
        CPPUNIT_ASSERT(it.who == from.who);
        CPPUNIT_ASSERT(it.operators == from.operators);
        CPPUNIT_ASSERT(it.leads);
        CPPUNIT_ASSERT(it.targets == from.targets);
        CPPUNIT_ASSERT(it.entries == from.entries);
        CPPUNIT_ASSERT(it.outcomes == from.outcomes);
    }

    void an_entry_is_told_the_state_without_the_source()
    {
        messages::roster_update from{
            .newest = sequence_id(9), .connected = false, .steering = sample_state()};
        from.targets = {sample_notice()};
        from.shares = {{customer_id("c"), per_mille(70)}};
        auto const it = round_trip(from);
        CPPUNIT_ASSERT(it.newest == from.newest);
        CPPUNIT_ASSERT(!it.connected);
        CPPUNIT_ASSERT(it.targets == from.targets);
        CPPUNIT_ASSERT(it.shares == from.shares);
        CPPUNIT_ASSERT(it.steering->plan->routes == from.steering->plan->routes);
        CPPUNIT_ASSERT(it.steering->plan->source.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_codec_test);

} // namespace

} // namespace mulberryrudder::wire
