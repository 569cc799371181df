#include <mulberryrudder/messages/spill.hpp>
#include <mulberryrudder/messages/targets.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder
{

namespace
{

template <class T>
T travelled(T const& sent)
{
    auto const* const codec = wire::find_codec(std::type_index(typeid(T)));
    CPPUNIT_ASSERT(codec != nullptr);
    capnp::MallocMessageBuilder message;
    auto root = message.getRoot<capnp::AnyPointer>();
    codec->encode(any_message::of(sent), root);
    return *codec->decode(root.asReader()).template get<T>();
}

class routing_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_codec_test);
    CPPUNIT_TEST(a_spilled_request_arrives_as_it_was_sent);
    CPPUNIT_TEST(a_reply_arrives_as_it_was_sent);
    CPPUNIT_TEST(a_refusal_arrives_as_it_was_sent);
    CPPUNIT_TEST(announcements_arrive_as_they_were_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_spilled_request_arrives_as_it_was_sent()
    {
        call const content{.method = call_method::post,
                           .path = "/bib/7",
                           .fields = {{"accept", "text/plain"}},
                           .body = std::string("a\0b", 3)};
        messages::spill_request sent{.id = request_id(7),
                                     .customer = customer_id("runners"),
                                     .key = sha256("secret"),
                                     .route = route_id("bibs"),
                                     .version = version_id("v2"),
                                     .repeatable = true,
                                     .idempotency_key = "",
                                     .remaining = milliseconds(1500),
                                     .content = std::make_shared<call const>(content)};
        sent.client.bytes[15] = 9;
        auto const got = travelled(sent);
        CPPUNIT_ASSERT(got.id == sent.id && got.customer == sent.customer && got.key == sent.key);
        CPPUNIT_ASSERT(got.route == sent.route && got.version == sent.version && got.repeatable);
        CPPUNIT_ASSERT(got.idempotency_key == sent.idempotency_key && got.client == sent.client);
        CPPUNIT_ASSERT(got.remaining == sent.remaining);
        CPPUNIT_ASSERT(got.content->method == call_method::post);
        CPPUNIT_ASSERT(got.content->path == content.path && got.content->fields == content.fields);
        CPPUNIT_ASSERT(got.content->body == content.body);
    }

    void a_reply_arrives_as_it_was_sent()
    {
        reply const content{.status = 404, .fields = {{"a", "b"}}, .body = "gone"};
        auto const got =
            travelled(messages::spill_reply{.id = request_id(7),
                                            .content = std::make_shared<reply const>(content),
                                            .run = verdict::ran});
        CPPUNIT_ASSERT(got.content && *got.content == content);
        CPPUNIT_ASSERT(got.run == verdict::ran && !got.retry_after);
    }

    void a_refusal_arrives_as_it_was_sent()
    {
        auto const got = travelled(messages::spill_reply{
            .id = request_id(7), .run = verdict::may_have_run, .retry_after = milliseconds(5)});
        CPPUNIT_ASSERT(!got.content && got.run == verdict::may_have_run);
        CPPUNIT_ASSERT(got.retry_after == milliseconds(5));
    }

    void announcements_arrive_as_they_were_sent()
    {
        entry::announcement const sent{.id = target_id("t1"),
                                       .where = {.address = "127.0.0.1", .port = 9000},
                                       .domain = domain_id("m1"),
                                       .version = version_id("v1"),
                                       .routes = {route_id("a"), route_id("b")},
                                       .capacity = slots(8),
                                       .most_connections = connections(400),
                                       .state = entry::target_state::leaving,
                                       .load = entry::load_report{slots(1), slots(8)}};
        auto const got = travelled(messages::target_relay{.leased = true, .heard = {sent}});
        CPPUNIT_ASSERT(got.leased && got.heard.size() == 1);
        auto const& it = got.heard[0];
        CPPUNIT_ASSERT(it.id == sent.id && it.where == sent.where && it.domain == sent.domain);
        CPPUNIT_ASSERT(it.version == sent.version && it.routes == sent.routes);
        CPPUNIT_ASSERT(it.capacity == sent.capacity && it.state == sent.state);
        CPPUNIT_ASSERT(it.most_connections == sent.most_connections);
        CPPUNIT_ASSERT(it.load && it.load->busy == slots(1) && it.load->total == slots(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_codec_test);

} // namespace

} // namespace mulberryrudder
