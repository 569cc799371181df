#include "../support/sample_notes.hpp"

#include <mulberryrudder/control/fleet_snapshot.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cppunit/extensions/HelperMacros.h>
#include <kj/io.h>

namespace mulberryrudder::control::testing
{

namespace
{

/// Encodes a message to bytes with its codec and decodes the bytes again.
template <class T>
T encode_and_decode(T const& message)
{
    auto const* const codec = wire::find_codec(std::type_index(typeid(T)));
    capnp::MallocMessageBuilder out;
    codec->encode(any_message::of(message), out.getRoot<capnp::AnyPointer>());
    kj::VectorOutputStream bytes;
    capnp::writePackedMessage(bytes, out);
    kj::ArrayInputStream in(bytes.getArray());
    capnp::PackedMessageReader reader(in);
    return *codec->decode(reader.getRoot<capnp::AnyPointer>()).template get<T>();
}

release_note full_note()
{
    auto out = first_note(9);
    out.based_on = generation_id(8);
    out.comment = "everything at once";
    out.add.keys[customer_id("archive")] = {sha256("a"), sha256("b")};
    out.add.moves = move_note().add.moves;
    out.add.links[{region_id("marmara"), region_id("ege")}] = bytes_per_second(500);
    out.change.customers[customer_id("bib")] = {
        .rate = millitokens_per_second(1), .burst = std::nullopt, .home = region_id("ege")};
    out.change.routes[route_id("bibs")] = {.open = true,
                                           .idempotent = std::nullopt,
                                           .customers = std::set{customer_id("bib")},
                                           .version = version_id("v7")};
    out.change.moves[route_id("bibs")] = {.cap = per_mille(10),
                                          .deadline = utc_time(sample_deadline)};
    out.change.links[{region_id("ege"), region_id("marmara")}] = bytes_per_second(7);
    out.withdraw = {.customers = {customer_id("old")},
                    .keys = {key_id_of(sha256("c"))},
                    .routes = {route_id("old")},
                    .moves = {route_id("old")},
                    .links = {{region_id("a"), region_id("b")}}};
    return out;
}

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(a_note_is_unchanged_by_encoding_and_decoding);
    CPPUNIT_TEST(the_other_commands_are_unchanged_by_encoding_and_decoding);
    CPPUNIT_TEST(a_snapshot_is_unchanged_by_encoding_and_decoding);
    CPPUNIT_TEST(notes_have_equal_digests_only_if_their_content_is_equal);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_note_is_unchanged_by_encoding_and_decoding()
    {
        commit_note const command{full_note(), content_digest(full_note())};
        CPPUNIT_ASSERT(encode_and_decode(command) == command);
    }

    void the_other_commands_are_unchanged_by_encoding_and_decoding()
    {
        move_key const key{route_id("timing"), note_number(2)};
        step_move const step{key, per_mille(250)};
        end_move const end{key, move_outcome::taken_back, "it fails"};
        set_draining const drain{instance_id(5), true};
        set_quarantine const quarantine{sha256("a request"), true};
        CPPUNIT_ASSERT(encode_and_decode(step) == step);
        CPPUNIT_ASSERT(encode_and_decode(end) == end);
        CPPUNIT_ASSERT(encode_and_decode(drain) == drain);
        CPPUNIT_ASSERT(encode_and_decode(quarantine) == quarantine);
    }

    void a_snapshot_is_unchanged_by_encoding_and_decoding()
    {
        fleet_snapshot snapshot;
        fleet_config config{.generation = generation_id(12)};
        config.customers = full_note().add.customers;
        config.routes[route_id("timing")] = {.open = true,
                                             .idempotent = true,
                                             .customers = {customer_id("relay")},
                                             .version = version_id("v1"),
                                             .next = version_id("v2"),
                                             .next_share = per_mille(300)};
        config.link_caps = full_note().add.links;
        config.quarantined = {sha256("poison")};
        config.draining = {instance_id(4)};
        snapshot.plan.config = std::make_shared<fleet_config const>(config);
        move_order const order{.terms = full_note().add.moves.begin()->second,
                               .note = note_number(9),
                               .from = version_id("v1"),
                               .since = generation_id(11)};
        snapshot.plan.moves[route_id("timing")] = order;
        snapshot.notes[note_number(9)] = {note_number(9), sha256("n"), generation_id(11), "why"};
        snapshot.forgotten = note_number(3);
        snapshot.ended.push_back({{route_id("bibs"), note_number(4)},
                                  order,
                                  move_outcome::done,
                                  "all steps held",
                                  generation_id(10)});
        auto const decoded = encode_and_decode(snapshot);
        CPPUNIT_ASSERT(*decoded.plan.config == config);
        CPPUNIT_ASSERT(decoded.plan.moves == snapshot.plan.moves);
        CPPUNIT_ASSERT(decoded.notes == snapshot.notes);
        CPPUNIT_ASSERT(decoded.forgotten == snapshot.forgotten);
        CPPUNIT_ASSERT(decoded.ended == snapshot.ended);
    }

    void notes_have_equal_digests_only_if_their_content_is_equal()
    {
        auto other = full_note();
        CPPUNIT_ASSERT(content_digest(other) == content_digest(full_note()));
        other.change.routes[route_id("bibs")].open = false;
        CPPUNIT_ASSERT(content_digest(other) != content_digest(full_note()));
        other = full_note();
        other.change.routes[route_id("bibs")].open = std::nullopt;
        CPPUNIT_ASSERT(content_digest(other) != content_digest(full_note()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace

} // namespace mulberryrudder::control::testing
