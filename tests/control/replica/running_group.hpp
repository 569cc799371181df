#ifndef MULBERRYRUDDER_TESTS_CONTROL_REPLICA_RUNNING_GROUP_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_REPLICA_RUNNING_GROUP_HPP

#include "fake_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::control::testing
{

inline constexpr std::uint64_t running_group_seed = 20261204;

/// Starts a group and waits until it has a leader.
class running_group : public fake_group
{
public:
    explicit running_group(std::size_t size, replica_settings config = {})
        : fake_group(size, running_group_seed, config)
    {
        for (std::uint32_t id = 1; id <= size; ++id)
            start(id);
        CPPUNIT_ASSERT(wait_for_leader());
        run_for(seconds(1));
    }

    bool wait_for_leader(span timeout = seconds(20))
    {
        return run_until([this] { return acting_leader() != 0; }, timeout);
    }

    /// Returns the id of an instance that is not the leader.
    std::uint32_t follower() { return acting_leader() == 1 ? 2 : 1; }

    template <class Answer>
    Answer answer_to(std::uint32_t id, any_message request)
    {
        answers.clear();
        send_operator_request(id, std::move(request));
        run_until([this] { return !answers.empty(); }, seconds(5));
        CPPUNIT_ASSERT(!answers.empty());
        CPPUNIT_ASSERT(answers.back().get<Answer>() != nullptr);
        return *answers.back().get<Answer>();
    }

    members_listed members()
    {
        return answer_to<members_listed>(acting_leader(), any_message::of(list_members{}));
    }

    /// Returns whether an instance's current disk has a vote in a settled membership.
    bool votes(std::uint32_t id)
    {
        if (acting_leader() == 0)
            return false;
        auto const listed = members();
        auto const found = [&](member_status const& it)
        {
            auto const disk = at(id).disk.contents().state.disk;
            return it.id == instance_id(id) && it.votes && it.disk == disk;
        };
        return listed.settled && std::any_of(listed.members.begin(), listed.members.end(), found);
    }

    voter_group& voters_of(std::uint32_t id)
    {
        return at(id).decision_core->services().require<voter_group>();
    }

    bool begin_replacement(replacement const& change, std::vector<replacement> const& abandoned)
    {
        bool out = false;
        act_as_leader([&](std::uint32_t id, instant now)
                      { out = voters_of(id).begin_replacement(change, abandoned, now); });
        return out;
    }

    bool wait_for_vote(std::uint32_t id)
    {
        for (int n = 0; n != 100 && !votes(id); ++n)
            run_for(milliseconds(100));
        return votes(id);
    }

    /// Kills an instance and starts it with a blank disk.
    void replace_disk(std::uint32_t id)
    {
        kill(id);
        at(id).disk.replace_contents({});
        start(id);
    }

    void propose_many(std::uint64_t count)
    {
        for (std::uint64_t n = 0; n != count; ++n)
        {
            CPPUNIT_ASSERT(propose(++proposed));
            run_for(milliseconds(10));
        }
        run_for(seconds(1));
    }

    std::uint64_t proposed = 0;
};

} // namespace mulberryrudder::control::testing

#endif
