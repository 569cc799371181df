#include "list_codec.hpp"

#include <quota.capnp.h>

#include <mulberryrudder/messages/quota.hpp>
#include <mulberryrudder/wire/codec.hpp>

namespace mulberryrudder::wire
{

using namespace schema::quota;

namespace
{

void encode_counts(std::map<customer_id, requests> const& from, ::capnp::List<Wanted>::Builder to)
{
    unsigned n = 0;
    for (auto const& [customer, count] : from)
    {
        auto out = to[n++];
        out.setCustomer(customer.value());
        out.setRequests(static_cast<std::uint32_t>(count.count()));
    }
}

void decode_counts(::capnp::List<Wanted>::Reader from, std::map<customer_id, requests>& to)
{
    for (auto const it : from)
        to.emplace(customer_id(decode_text(it.getCustomer())), requests(it.getRequests()));
}

void encode_question(messages::quota_question const& from, Question::Builder to)
{
    to.setNumber(from.number.value());
    to.setRelayed(from.relayed);
    to.setForwarded(from.forwarded);
    encode_counts(from.wanted, to.initWanted(size_of(from.wanted)));
    to.setHasPart(from.part.has_value());
    if (from.part)
        to.setPart(static_cast<std::uint32_t>(from.part->count()));
    encode_counts(from.spent, to.initSpent(size_of(from.spent)));
    encode_counts(from.expected, to.initExpected(size_of(from.expected)));
    encode_counts(from.used_ahead, to.initUsedAhead(size_of(from.used_ahead)));
}

messages::quota_question decode_question(Question::Reader from)
{
    messages::quota_question out{.number = sequence_id(from.getNumber()),
                                 .wanted = {},
                                 .expected = {},
                                 .relayed = from.getRelayed(),
                                 .forwarded = from.getForwarded()};
    decode_counts(from.getWanted(), out.wanted);
    if (from.getHasPart())
        out.part = per_mille(from.getPart());
    decode_counts(from.getSpent(), out.spent);
    decode_counts(from.getExpected(), out.expected);
    decode_counts(from.getUsedAhead(), out.used_ahead);
    return out;
}

void encode_answer(messages::quota_answer const& from, Answer::Builder to)
{
    to.setNumber(from.number.value());
    auto grants = to.initGrants(size_of(from.grants));
    unsigned n = 0;
    for (auto const& it : from.grants)
    {
        auto out = grants[n++];
        out.setCustomer(it.customer.value());
        out.setAdmitted(static_cast<std::uint32_t>(it.admitted.count()));
        out.setRetryAfterMs(it.retry_after.count());
        out.setAhead(static_cast<std::uint32_t>(it.ahead.count()));
    }
    to.setAheadLifetimeMs(from.ahead_lifetime.count());
    to.setHasPressed(from.pressed.has_value());
    if (from.pressed)
        encode_ids(*from.pressed, to.initPressed(size_of(*from.pressed)));
}

messages::quota_answer decode_answer(Answer::Reader from)
{
    messages::quota_answer out{.number = sequence_id(from.getNumber()),
                               .grants = {},
                               .pressed = std::nullopt,
                               .ahead_lifetime = milliseconds(from.getAheadLifetimeMs())};
    for (auto const it : from.getGrants())
        out.grants.push_back({.customer = customer_id(decode_text(it.getCustomer())),
                              .admitted = requests(it.getAdmitted()),
                              .ahead = requests(it.getAhead()),
                              .retry_after = milliseconds(it.getRetryAfterMs())});
    if (from.getHasPressed())
        decode_ids(from.getPressed(), out.pressed.emplace());
    return out;
}

codec_registrar<messages::quota_question, Question, &encode_question, &decode_question> const
    question_entered{215};
codec_registrar<messages::quota_answer, Answer, &encode_answer, &decode_answer> const
    answer_entered{216};

} // namespace

} // namespace mulberryrudder::wire
