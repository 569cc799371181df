#include <mulberryrudder/messages/claims.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::messages
{

namespace
{

/// Encodes and decodes a message by the codec of its type.
template <class T>
T carried(T const& sent)
{
    auto const* const codec = wire::find_codec(std::type_index(typeid(T)));
    capnp::MallocMessageBuilder buf;
    capnp::AnyPointer::Builder root = buf.getRoot<capnp::AnyPointer>();
    codec->encode(any_message::of(sent), root);
    any_message const got = codec->decode(root.asReader());
    return *got.get<T>();
}

claim_record sample()
{
    return {.id = claim_id(sha256("id")),
            .customer = customer_id("bib"),
            .fingerprint = sha256("content"),
            .holder = {instance_id(3), boot_id(4), request_id(5)},
            .state = claim_state::finished,
            .content = std::make_shared<reply const>(
                reply{.status = 201, .fields = {{"a", "b"}}, .body = std::string("x\0y", 3)}),
            .run_within = milliseconds(1),
            .expires_in = seconds(2)};
}

class claims_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_codec_test);
    CPPUNIT_TEST(a_record_arrives_as_it_was_sent);
    CPPUNIT_TEST(a_request_arrives_as_it_was_sent);
    CPPUNIT_TEST(an_answer_without_a_reply_arrives_without_one);
    CPPUNIT_TEST(a_page_arrives_as_it_was_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_record_arrives_as_it_was_sent()
    {
        auto const sent = sample();
        auto const it = carried(claim_end{sent}).record;
        CPPUNIT_ASSERT(it.id == sent.id && it.fingerprint == sent.fingerprint);
        CPPUNIT_ASSERT(it.customer == sent.customer && it.holder == sent.holder);
        CPPUNIT_ASSERT(it.state == sent.state && *it.content == *sent.content);
        CPPUNIT_ASSERT(it.run_within == sent.run_within && it.expires_in == sent.expires_in);
    }

    void a_request_arrives_as_it_was_sent()
    {
        claim_request const sent{.wanted = sample(),
                                 .keepers = {instance_id(1), instance_id(7)},
                                 .key_age = milliseconds(-5)};
        auto const it = carried(sent);
        CPPUNIT_ASSERT(it.keepers == sent.keepers && it.key_age == sent.key_age);
        CPPUNIT_ASSERT(it.wanted.id == sent.wanted.id);
    }

    void an_answer_without_a_reply_arrives_without_one()
    {
        claim_answer const sent{.id = sample().id,
                                .holder = sample().holder,
                                .kind = claim_answer_kind::held,
                                .known = claim_state::may_have_run};
        auto const it = carried(sent);
        CPPUNIT_ASSERT(it.id == sent.id && it.holder == sent.holder && it.kind == sent.kind);
        CPPUNIT_ASSERT(it.known == sent.known && it.content == nullptr);
    }

    void a_page_arrives_as_it_was_sent()
    {
        claims_page const sent{.boot = boot_id(8),
                               .after = claim_id(sha256("a")),
                               .records = {sample(), sample()},
                               .more = true,
                               .next = claim_id(sha256("b")),
                               .settled_for = seconds(9)};
        auto const it = carried(sent);
        CPPUNIT_ASSERT(it.boot == sent.boot && it.after == sent.after && it.next == sent.next);
        CPPUNIT_ASSERT(it.more && it.settled_for == sent.settled_for);
        CPPUNIT_ASSERT_EQUAL(sent.records.size(), it.records.size());
        CPPUNIT_ASSERT(carried(claims_pull{boot_id(2), sent.after}).after == sent.after);
        CPPUNIT_ASSERT(carried(claim_end_ack{sent.after, {}}).id == sent.after);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_codec_test);

} // namespace

} // namespace mulberryrudder::messages
