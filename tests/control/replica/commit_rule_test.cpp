#include "fake_group.hpp"

#include <mulberryrudder/messages/replica.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::uint32_t voter_count = 5;

disk_id disk_of(std::uint32_t id)
{
    return disk_id(100 + id);
}

/// Drives replica 1 of five with single messages. Its log ends with an entry of an earlier
/// term.
class commit_rule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commit_rule_test);
    CPPUNIT_TEST(an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas);
    CPPUNIT_TEST(an_entry_of_the_own_term_commits_those_before_it);
    CPPUNIT_TEST(the_reply_to_a_request_of_an_earlier_term_has_no_round);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        identity self{.boot = boot_id(1)};
        self.self.id = instance_id(1);
        core_ = std::make_unique<core>(core::options{
            .config = config_, .counters = counters_, .events = events_, .self = self, .seed = 1});
        deliver(recovered_log());
        for (std::uint32_t id = 2; id <= voter_count; ++id)
            receive(id, messages::start_reply{.nonce = nonce_, .disk = disk_of(id)});
        win_election();
        CPPUNIT_ASSERT(log().leader() == instance_id(1));
    }

    void an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas()
    {
        acknowledge(log_index(2));
        CPPUNIT_ASSERT(log_index(0) == log().applied_index());
    }

    void an_entry_of_the_own_term_commits_those_before_it()
    {
        acknowledge(log_index(3));
        CPPUNIT_ASSERT(log_index(3) == log().applied_index());
    }

    // Guards against a reply that rejects a request of an earlier term and carries the new term
    // with the round of the request. If the same instance leads again, it counts such a reply in
    // its current round and concludes that the disk lost acknowledged entries, so that the
    // replica loses its vote for good.
    void the_reply_to_a_request_of_an_earlier_term_has_no_round()
    {
        receive(2, messages::append_request{
                       .term = term_id(3), .to_disk = disk_of(1), .round = messages::round_id(7)});
        CPPUNIT_ASSERT(append_reply_.has_value());
        CPPUNIT_ASSERT_MESSAGE("the reply carries the newer term",
                               append_reply_->term == term_id(4));
        CPPUNIT_ASSERT(append_reply_->round == messages::round_id());
    }

private:
    static disk_recovered recovered_log()
    {
        messages::membership_changed founding{.members = {.group = group_id(1)}};
        for (std::uint32_t id = 1; id <= voter_count; ++id)
            founding.members.voters.push_back({.id = instance_id(id), .disk = disk_of(id)});
        disk_recovered out{.blank = false, .state = {.term = term_id(3), .disk = disk_of(1)}};
        out.entries.push_back({.term = term_id(1),
                               .index = log_index(1),
                               .command = any_message::of(std::move(founding))});
        out.entries.push_back({.term = term_id(2),
                               .index = log_index(2),
                               .command = any_message::of(test_command{7})});
        return out;
    }

    replicated_log& log() { return core_->services().require<replicated_log>(); }

    void deliver(input const& event)
    {
        effects out;
        core_->handle(now_, event, out);
        perform(out);
    }

    void tick()
    {
        effects out;
        core_->tick(now_, out);
        perform(out);
    }

    /// Syncs each write at once; records the start nonce, the round and the append reply.
    void perform(effects const& out)
    {
        for (auto const& it : out)
        {
            if (auto const* const saved = std::get_if<persist>(&it))
            {
                if (saved->state)
                    nonce_ = saved->state->own_starts.back();
                deliver(disk_synced{saved->ticket});
            }
            auto const* const sent = std::get_if<send_message>(&it);
            if (sent == nullptr)
                continue;
            if (auto const* const append = sent->message.body.get<messages::append_request>())
                round_ = append->round;
            if (auto const* const reply = sent->message.body.get<messages::append_reply>())
                append_reply_ = *reply;
        }
    }

    template <class T>
    void receive(std::uint32_t sender, T message)
    {
        deliver(message_arrived{{.from = instance_id(sender),
                                 .to = instance_id(1),
                                 .body = any_message::of(std::move(message))}});
    }

    void win_election()
    {
        now_ += seconds(10);
        tick();
        for (bool const trial : {true, false})
            for (std::uint32_t id = 2; id <= 3; ++id)
                receive(id, messages::vote_reply{.term = term_id(4),
                                                 .disk = disk_of(id),
                                                 .trial = trial,
                                                 .granted = true});
    }

    void acknowledge(log_index last)
    {
        for (std::uint32_t id = 2; id <= voter_count; ++id)
            receive(id, messages::append_reply{.term = term_id(4),
                                               .disk = disk_of(id),
                                               .round = round_,
                                               .matched = true,
                                               .last = last});
    }

    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    event_recorder events_;
    instant now_{seconds(1000)};
    start_nonce nonce_;
    messages::round_id round_;
    std::optional<messages::append_reply> append_reply_;
    std::unique_ptr<core> core_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(commit_rule_test);

} // namespace

} // namespace mulberryrudder::control::testing
