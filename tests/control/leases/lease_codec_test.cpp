#include <mulberryrudder/fleet/config_delta.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <tests/lease_fleet/lease_fleet.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::test
{

namespace
{

/// Encodes a message and decodes it again.
template <class T>
T travelled(T const& sent)
{
    auto const holder = any_message::of(sent);
    auto const* const codec = wire::find_codec(holder.type());
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<capnp::AnyPointer>();
    codec->encode(holder, root);
    return *codec->decode(root.asReader()).template get<T>();
}

class lease_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_codec_test);
    CPPUNIT_TEST(a_renewal_travels_whole);
    CPPUNIT_TEST(a_grant_travels_with_its_delta);
    CPPUNIT_TEST(an_amount_below_zero_is_refused);
    CPPUNIT_TEST(a_delta_leads_from_its_base_to_the_newer_configuration);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_renewal_travels_whole()
    {
        auto const it = travelled(messages::renew_request{
            .sequence = sequence_id(3),
            .boot = boot_id(4),
            .self = {.id = instance_id(7), .domain = domain_id("d"), .peer = {"::1", 9}},
            .demand = {{.customer = customer_id("c"), .returned = millitokens(5)}},
            .accepted = sequence_id(2),
            .adopted = {domain_id("e")}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, it.sequence.value());
        CPPUNIT_ASSERT(it.self.peer == (endpoint{"::1", 9}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it.demand.at(0).returned.count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.accepted.value());
        CPPUNIT_ASSERT(domain_id("e") == it.adopted.at(0));
    }

    void a_grant_travels_with_its_delta()
    {
        messages::lease_grant out{.sequence = sequence_id(1), .valid_for = seconds(4)};
        out.delta =
            std::make_shared<messages::config_delta const>(fleet::difference(older_, newer_));
        out.slices = {{.customer = customer_id("c"), .initial = millitokens(9)}};
        auto const it = travelled(out);
        CPPUNIT_ASSERT(!it.config);
        CPPUNIT_ASSERT(newer_ == fleet::changed(older_, *it.delta));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, it.slices.at(0).initial.count());
    }

    void an_amount_below_zero_is_refused()
    {
        messages::lease_grant out;
        out.slices = {{.customer = customer_id("c"), .initial = millitokens(-1)}};
        CPPUNIT_ASSERT_THROW(travelled(out), std::invalid_argument);
    }

    void a_delta_leads_from_its_base_to_the_newer_configuration()
    {
        auto const delta = fleet::difference(older_, newer_);
        CPPUNIT_ASSERT(newer_ == fleet::changed(older_, delta));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.changed.customers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.customers_gone.size());
        CPPUNIT_ASSERT(delta.changed.routes.empty());
    }

private:
    fleet_config older_ = lease_fleet::plain_config(1, {{"a", {1, 1}}, {"b", {2, 2}}});
    fleet_config newer_ = lease_fleet::plain_config(2, {{"a", {1, 1}}, {"c", {2, 2}}});
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_codec_test);

} // namespace

} // namespace mulberryrudder::test
