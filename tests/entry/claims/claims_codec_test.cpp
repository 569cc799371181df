#include <mulberryrudder/messages/claims.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::messages
{

namespace
{

/// Returns the message after encoding and decoding it with the codec of its type.
template <class T>
T round_trip(T const& sent)
{
    auto const* const codec = wire::find_codec(std::type_index(typeid(T)));
    capnp::MallocMessageBuilder buf;
    capnp::AnyPointer::Builder root = buf.getRoot<capnp::AnyPointer>();
    codec->encode(any_message::of(sent), root);
    any_message const decoded = codec->decode(root.asReader());
    return *decoded.get<T>();
}

claim_record sample_record()
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
    CPPUNIT_TEST(a_claim_record_round_trips);
    CPPUNIT_TEST(a_claim_request_round_trips);
    CPPUNIT_TEST(an_answer_without_a_reply_round_trips);
    CPPUNIT_TEST(a_claims_page_round_trips);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_claim_record_round_trips()
    {
        auto const sent = sample_record();
        auto const received = round_trip(claim_end{sent}).record;
        CPPUNIT_ASSERT(received.id == sent.id && received.fingerprint == sent.fingerprint);
        CPPUNIT_ASSERT(received.customer == sent.customer && received.holder == sent.holder);
        CPPUNIT_ASSERT(received.state == sent.state && *received.content == *sent.content);
        CPPUNIT_ASSERT(received.run_within == sent.run_within &&
                       received.expires_in == sent.expires_in);
    }

    void a_claim_request_round_trips()
    {
        claim_request const sent{.wanted = sample_record(),
                                 .keepers = {instance_id(1), instance_id(7)},
                                 .key_age = milliseconds(-5)};
        auto const received = round_trip(sent);
        CPPUNIT_ASSERT(received.keepers == sent.keepers && received.key_age == sent.key_age);
        CPPUNIT_ASSERT(received.wanted.id == sent.wanted.id);
    }

    void an_answer_without_a_reply_round_trips()
    {
        claim_answer const sent{.id = sample_record().id,
                                .holder = sample_record().holder,
                                .kind = claim_answer_kind::held,
                                .known = claim_state::may_have_run};
        auto const received = round_trip(sent);
        CPPUNIT_ASSERT(received.id == sent.id && received.holder == sent.holder &&
                       received.kind == sent.kind);
        CPPUNIT_ASSERT(received.known == sent.known && received.content == nullptr);
    }

    void a_claims_page_round_trips()
    {
        claims_page const sent{.boot = boot_id(8),
                               .after = claim_id(sha256("a")),
                               .records = {sample_record(), sample_record()},
                               .more = true,
                               .next = claim_id(sha256("b")),
                               .settled_for = seconds(9)};
        auto const received = round_trip(sent);
        CPPUNIT_ASSERT(received.boot == sent.boot && received.after == sent.after &&
                       received.next == sent.next);
        CPPUNIT_ASSERT(received.more && received.settled_for == sent.settled_for);
        CPPUNIT_ASSERT_EQUAL(sent.records.size(), received.records.size());
        CPPUNIT_ASSERT(round_trip(claims_pull{boot_id(2), sent.after}).after == sent.after);
        CPPUNIT_ASSERT(round_trip(claim_end_ack{sent.after, {}}).id == sent.after);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_codec_test);

} // namespace

} // namespace mulberryrudder::messages
