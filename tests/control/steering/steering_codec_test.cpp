#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/fleet/steering_difference.hpp>
#include <mulberryrudder/messages/quota.hpp>
#include <mulberryrudder/messages/roster.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::wire
{

namespace
{

/// Returns the encoded size of a message in bytes.
template <class T>
std::size_t encoded_size(T const& message)
{
    capnp::MallocMessageBuilder out;
    find_codec(std::type_index(typeid(T)))
        ->encode(any_message::of(message), out.initRoot<capnp::AnyPointer>());
    return out.sizeInWords() * sizeof(capnp::word);
}

/// Encodes and decodes a message and returns the result.
template <class T>
T round_trip(T const& original)
{
    auto const* const codec = find_codec(std::type_index(typeid(T)));
    CPPUNIT_ASSERT(codec != nullptr);
    capnp::MallocMessageBuilder message;
    codec->encode(any_message::of(original), message.initRoot<capnp::AnyPointer>());
    auto const decoded = codec->decode(message.getRoot<capnp::AnyPointer>().asReader());
    return *decoded.template get<T>();
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
    CPPUNIT_TEST(a_plan_command_round_trips);
    CPPUNIT_TEST(a_snapshot_round_trips);
    CPPUNIT_TEST(an_exchange_round_trips);
    CPPUNIT_TEST(a_kept_roster_round_trips);
    CPPUNIT_TEST(an_update_for_an_entry_omits_the_source_of_the_plan);
    CPPUNIT_TEST(a_difference_for_an_entry_round_trips);
    CPPUNIT_TEST(an_update_tells_that_its_number_of_entries_is_incomplete);
    CPPUNIT_TEST(an_update_without_the_fleet_omits_its_figures);
    CPPUNIT_TEST(a_change_of_one_route_is_sent_without_the_rest_of_the_plan);
    CPPUNIT_TEST(a_probe_and_its_reply_round_trip);
    CPPUNIT_TEST(a_question_for_admissions_keeps_its_part_and_its_account);
    CPPUNIT_TEST(an_answer_keeps_what_is_admitted_and_what_is_admitted_ahead);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_plan_command_round_trips()
    {
        control::replace_plan const original{
            plan_number(5), std::make_shared<traffic_plan const>(sample_plan()), sha256("source")};
        auto const decoded = round_trip(original);
        CPPUNIT_ASSERT(decoded.base == original.base);
        CPPUNIT_ASSERT(*decoded.plan == *original.plan);
        CPPUNIT_ASSERT(decoded.content == original.content);
    }

    void a_snapshot_round_trips()
    {
        control::steering_snapshot const original{*sample_state(), {{plan_number(7), sha256("x")}}};
        auto const decoded = round_trip(original);
        CPPUNIT_ASSERT(decoded.state.generation == original.state.generation);
        CPPUNIT_ASSERT(*decoded.state.plan == *original.state.plan);
        CPPUNIT_ASSERT(decoded.state.evacuated == original.state.evacuated);
        CPPUNIT_ASSERT(decoded.state.versions == original.state.versions);
        CPPUNIT_ASSERT(decoded.accepted == original.accepted);
    }

    void a_kept_roster_round_trips()
    {
        messages::kept_roster original{
            .intact = true, .targets = {sample_notice()}, .control = {{.id = instance_id(3)}}};
        auto const decoded = round_trip(original);
        CPPUNIT_ASSERT(decoded.intact);
        CPPUNIT_ASSERT(decoded.targets == original.targets);
        CPPUNIT_ASSERT(decoded.control == original.control);
    }

    void an_exchange_round_trips()
    {
        messages::roster_exchange original{.leads = true, .number = sequence_id(3)};
        original.who.id = instance_id(1);
        original.operators = {"10.0.0.1", 81};
        original.targets = {sample_notice()};
        original.entries = {{.who = original.who,
                             .boot = boot_id(2),
                             .sequence = sequence_id(3),
                             .ready = true,
                             .age = milliseconds(4),
                             .part_in_use = per_mille(91),
                             .outcomes = {{.service = service_id("s"),
                                           .rollout = version_id("v2"),
                                           .version = version_id("v1"),
                                           .answered = 3,
                                           .failed = 1,
                                           .broken = 4,
                                           .late = 2}}}};
        original.wants_targets = true;
        original.has_all_targets = true;
        original.intact = true;
        original.keeps_leaves = true;
        original.kept = sequence_id(8);
        original.confirmed_age = milliseconds(7);
        original.heard = {instance_id(4), instance_id(9)};
        auto const decoded = round_trip(original);
        CPPUNIT_ASSERT(decoded.who == original.who);
        CPPUNIT_ASSERT(decoded.operators == original.operators);
        CPPUNIT_ASSERT(decoded.leads);
        CPPUNIT_ASSERT(decoded.targets == original.targets);
        CPPUNIT_ASSERT(decoded.wants_targets);
        CPPUNIT_ASSERT(decoded.has_all_targets);
        CPPUNIT_ASSERT(decoded.intact);
        CPPUNIT_ASSERT(decoded.keeps_leaves);
        CPPUNIT_ASSERT(decoded.kept == original.kept);
        CPPUNIT_ASSERT(decoded.confirmed_age == milliseconds(7));
        CPPUNIT_ASSERT(decoded.heard == original.heard);
        CPPUNIT_ASSERT(decoded.entries == original.entries);
    }

    void an_update_for_an_entry_omits_the_source_of_the_plan()
    {
        messages::roster_update original{.newest = sequence_id(9),
                                         .connected = false,
                                         .current = false,
                                         .confirmed_age = milliseconds(8),
                                         .steering = sample_state()};
        original.targets = {sample_notice()};
        original.entries = 182;
        auto const decoded = round_trip(original);
        CPPUNIT_ASSERT(decoded.newest == original.newest);
        CPPUNIT_ASSERT(!decoded.connected);
        CPPUNIT_ASSERT(!decoded.current);
        CPPUNIT_ASSERT(decoded.confirmed_age == milliseconds(8));
        CPPUNIT_ASSERT(decoded.targets == original.targets);
        CPPUNIT_ASSERT_EQUAL(original.entries, decoded.entries);
        CPPUNIT_ASSERT(decoded.steering->plan->routes == original.steering->plan->routes);
        CPPUNIT_ASSERT(decoded.steering->plan->source.empty());
    }

    void a_difference_for_an_entry_round_trips()
    {
        auto newer = *sample_state();
        auto plan = sample_plan();
        plan.routes.insert(plan.routes.begin(), plan.routes.front());
        plan.routes.front().id = route_id("new");
        newer.plan = std::make_shared<traffic_plan const>(plan);
        messages::roster_update original{.held_for = milliseconds(650)};
        original.difference = fleet::difference(*sample_state(), newer);
        auto const decoded = round_trip(original);
        CPPUNIT_ASSERT(decoded.held_for == milliseconds(650));
        CPPUNIT_ASSERT(decoded.difference == original.difference);
    }

    void an_update_tells_that_its_number_of_entries_is_incomplete()
    {
        CPPUNIT_ASSERT(
            round_trip(messages::roster_update{.entries_incomplete = true}).entries_incomplete);
        CPPUNIT_ASSERT(!round_trip(messages::roster_update{}).entries_incomplete);
    }

    void an_update_without_the_fleet_omits_its_figures()
    {
        messages::roster_update const original{.has_fleet = false, .entries = 182};
        auto const decoded = round_trip(original);
        CPPUNIT_ASSERT(!decoded.has_fleet);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, decoded.entries);
    }

    // Guards against old plans at entries with a full link: each change of the plan sent the
    // whole of it to each entry, and again after each timeout.
    void a_change_of_one_route_is_sent_without_the_rest_of_the_plan()
    {
        auto plan = sample_plan();
        for (int n = 0; n != 60; ++n)
        {
            plan.routes.push_back(plan.routes.front());
            plan.routes.back().id = route_id("route-" + std::to_string(n));
            plan.customers.push_back(plan.customers.front());
            plan.customers.back().id = customer_id("customer-" + std::to_string(n));
        }
        steering_state const base{.generation = generation_id(1),
                                  .plan = std::make_shared<traffic_plan const>(plan)};
        plan.routes.at(30).homes = {region_id("e")};
        steering_state const newer{.generation = generation_id(2),
                                   .plan = std::make_shared<traffic_plan const>(plan)};
        messages::roster_update const whole{.steering =
                                                std::make_shared<steering_state const>(newer)};
        messages::roster_update const part{.difference = fleet::difference(base, newer)};
        CPPUNIT_ASSERT(encoded_size(part) * 10 < encoded_size(whole));
    }

    void a_probe_and_its_reply_round_trip()
    {
        messages::roster_probe probe{.boot = boot_id(2), .number = sequence_id(3)};
        probe.who.id = instance_id(1);
        auto const decoded = round_trip(probe);
        CPPUNIT_ASSERT(decoded.who == probe.who);
        CPPUNIT_ASSERT(decoded.boot == probe.boot);
        CPPUNIT_ASSERT(decoded.number == probe.number);
        messages::roster_probe_reply const reply{.number = sequence_id(3),
                                                 .generation = generation_id(4),
                                                 .connected = true,
                                                 .current = true};
        auto const decoded_reply = round_trip(reply);
        CPPUNIT_ASSERT(decoded_reply.number == reply.number);
        CPPUNIT_ASSERT(decoded_reply.generation == reply.generation);
        CPPUNIT_ASSERT(decoded_reply.connected && decoded_reply.current);
    }

    void a_question_for_admissions_keeps_its_part_and_its_account()
    {
        messages::quota_question question{.number = sequence_id(7),
                                          .wanted = {{customer_id("c"), requests(3)}},
                                          .expected = {{customer_id("e"), requests(4)}},
                                          .used_ahead = {{customer_id("f"), requests(2)}},
                                          .relayed = true,
                                          .forwarded = true,
                                          .part = per_mille(111),
                                          .spent = {{customer_id("d"), requests(5)}}};
        auto const copy = round_trip(question);
        CPPUNIT_ASSERT(copy.number == question.number);
        CPPUNIT_ASSERT(copy.wanted == question.wanted);
        CPPUNIT_ASSERT(copy.expected == question.expected);
        CPPUNIT_ASSERT(copy.used_ahead == question.used_ahead);
        CPPUNIT_ASSERT(copy.relayed);
        CPPUNIT_ASSERT(copy.forwarded);
        CPPUNIT_ASSERT(copy.part == question.part);
        CPPUNIT_ASSERT(copy.spent == question.spent);
        question.part.reset();
        CPPUNIT_ASSERT(!round_trip(question).part);
    }

    void an_answer_keeps_what_is_admitted_and_what_is_admitted_ahead()
    {
        messages::quota_answer const answer{.number = sequence_id(7),
                                            .grants = {{.customer = customer_id("c"),
                                                        .admitted = requests(3),
                                                        .ahead = requests(4),
                                                        .retry_after = milliseconds(5)}},
                                            .pressed = std::nullopt,
                                            .ahead_lifetime = milliseconds(2000)};
        auto const copy = round_trip(answer);
        CPPUNIT_ASSERT(copy.grants == answer.grants);
        CPPUNIT_ASSERT(copy.ahead_lifetime == answer.ahead_lifetime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_codec_test);

} // namespace

} // namespace mulberryrudder::wire
