#include "fake_group.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <sstream>

namespace mulberryrudder::control::testing
{

namespace
{

/// Returns a number from an environment variable, to run more schedules or one failed seed.
std::uint64_t number_from_environment(char const* variable, std::uint64_t default_value)
{
    auto const* const text = std::getenv(variable);
    return text == nullptr ? default_value : std::stoull(text);
}

std::uint64_t first_seed()
{
    return number_from_environment("MULBERRYRUDDER_SEED", 20261204);
}

/// One fault of a schedule; its name appears in the trace of a failed run.
struct fault
{
    char const* name;
    void (*inject)(class schedule&);
};

/// Runs one group through random faults and proposals.
class schedule
{
public:
    schedule(std::size_t size, std::uint64_t seed)
        : size_(static_cast<std::uint32_t>(size)), group_(size, seed, fast_settings()),
          random_(seed + 1)
    {
        for (std::uint32_t id = 1; id <= size_; ++id)
        {
            // Clock rates differ by up to 8 %, offsets by up to 1000 s.
            auto& it = group_.at(id);
            it.clock_rate = 0.96 + 0.08 * random_fraction();
            it.clock_offset = seconds(random_below(1000));
            group_.start(id);
        }
        if (!group_.run_until([this] { return group_.acting_leader() != 0; }, seconds(20)))
            throw invariant_violated("no leader after the group was founded");
        copy_disk();
    }

    void run(std::array<fault, 18> const& faults)
    {
        group_.network.loss_probability = 0.05 * random_fraction();
        group_.network.duplicate_probability = 0.1 * random_fraction();
        group_.network.max_delay = milliseconds(1 + random_below(150));
        group_.sync_delay = milliseconds(1 + random_below(30));
        constexpr std::size_t steps = 25;
        for (std::size_t n = 0; n != steps; ++n)
        {
            auto const& it = faults[random_below(faults.size())];
            trace_ << " " << group_.now().time_since_epoch().count() / 1000 << ":" << it.name;
            it.inject(*this);
            propose_some();
            group_.run_for(milliseconds(random_below(1200)));
            record_accepted();
        }
    }

    /// Ends all faults and starts what is down, then restarts all replicas; returns an error if
    /// the group does not recover either time or a replica lost an accepted value, else an empty
    /// string.
    std::string recover()
    {
        auto const settled = [this] { return all_vote() && group_.acting_leader() != 0; };
        group_.heal();
        group_.sync_delay = milliseconds(1 + random_below(30));
        mend_disks();
        for (std::uint32_t id = 1; id <= size_; ++id)
            if (!group_.is_up(id))
                group_.start(id);
        if (!group_.run_until(settled, seconds(60)))
            return "the group does not recover without a restart";
        for (std::uint32_t id = 1; id <= size_; ++id)
            restart(id);
        if (!group_.run_until(settled, seconds(60)))
            return "the group does not recover";
        group_.propose(++last_value_);
        group_.run_for(seconds(5));
        record_accepted();
        for (auto const value : accepted_)
            for (std::uint32_t id = 1; id <= size_; ++id)
                if (!group_.has_value(id, value))
                    return "replica " + std::to_string(id) + " lost accepted value " +
                           std::to_string(value);
        return {};
    }

    std::string trace() const { return trace_.str(); }
    std::size_t accepted() const { return accepted_.size(); }

    // The faults.
    void nothing() {}
    void kill_one()
    {
        auto const id = random_id();
        if (group_.is_up(id))
            group_.kill(id);
    }
    void restart_one() { restart(random_id()); }
    void restart_all()
    {
        for (std::uint32_t id = 1; id <= size_; ++id)
            restart(id);
    }
    void cut_one_way() { group_.set_link_cut(random_id(), random_id(), true); }
    void isolate_leader()
    {
        if (auto const id = group_.acting_leader())
            group_.isolate(id);
    }
    /// Cuts the leader's messages to one replica for a while, then isolates the leader; another
    /// replica may restart. No replica may lead before the lease has ended.
    void silence_leader()
    {
        auto const leader = group_.acting_leader();
        auto const follower = random_id();
        if (leader == 0 || follower == leader)
            return;
        group_.set_link_cut(leader, follower, true);
        group_.run_for(milliseconds(1000 + random_below(2500)));
        group_.isolate(leader);
        if (auto const id = random_id(); id != leader && id != follower && random_below(2) == 0)
            restart(id);
        group_.run_for(milliseconds(1500));
        heal_cuts();
    }
    /// Hands the lead over as at a planned stop; the replica may be suspended right after that.
    void hand_over_lead()
    {
        auto const leader = group_.acting_leader();
        auto const hands_over = [&](std::uint32_t id, instant now)
        {
            auto& voters = group_.at(id).decision_core->services().require<voter_group>();
            voters.hand_over_lead({}, now);
        };
        for (int n = 0; n != 20 && leader != 0 && group_.acting_leader() == leader; ++n)
        {
            group_.act_as_leader(hands_over);
            group_.run_for(milliseconds(random_below(50)));
        }
        if (leader != 0 && random_below(2) == 0)
            group_.freeze(leader, milliseconds(random_below(4000)));
    }
    void heal_cuts()
    {
        for (std::uint32_t sender = 1; sender <= size_; ++sender)
            for (std::uint32_t receiver = 1; receiver <= size_; ++receiver)
                group_.set_link_cut(sender, receiver, false);
    }
    void freeze_one() { group_.freeze(random_id(), milliseconds(random_below(4000))); }
    void fail_disk() { group_.fail_disk(random_id()); }
    void mend_disks()
    {
        for (std::uint32_t id = 1; id <= size_; ++id)
            group_.mend_disk(id);
    }
    /// Fills the leader's disk for a while, so that disks are full in turn.
    void fill_disk_of_leader()
    {
        auto const leader = group_.acting_leader();
        if (leader == 0)
            return;
        group_.fail_disk(leader);
        propose_some();
        group_.run_for(milliseconds(random_below(4000)));
        group_.mend_disk(leader);
    }
    /// Lets syncs take up to twice the longest election timeout in every second case.
    void change_disk_speed()
    {
        group_.sync_delay = milliseconds(1 + random_below(random_below(2) == 0 ? 30 : 4000));
    }
    void replace_disk() { replace_disk_contents({}); }
    void copy_disk() { copied_disk_ = group_.at(1 + copy_count_++ % size_).disk.contents(); }
    void restore_copied_disk()
    {
        auto copy = copied_disk_;
        copy.copied = true;
        replace_disk_contents(copy, 1 + (copy_count_ - 1) % size_);
    }
    /// Takes an image of a disk, restarts the instance, and restores the image. Only the start
    /// that the other replicas recorded shows that the disk is outdated.
    void restore_image()
    {
        auto const id = random_id();
        heal_cuts();
        restart_all();
        group_.run_for(seconds(5));
        auto const image = group_.at(id).disk.contents();
        restart(id);
        propose_some();
        group_.run_for(seconds(5));
        replace_disk_contents(image, id);
    }

private:
    static replica_settings fast_settings()
    {
        return {.snapshot_threshold = 20, .max_append_entries = 8};
    }

    double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::size_t random_below(std::size_t limit) { return random_() % limit; }
    std::uint32_t random_id() { return static_cast<std::uint32_t>(1 + random_below(size_)); }

    void restart(std::uint32_t id)
    {
        if (group_.is_up(id))
            group_.kill(id);
        group_.start(id);
    }

    /// Replaces an instance's disk contents, provided that the group tolerates it: all instances
    /// have a vote and no other one is being repaired.
    void replace_disk_contents(disk_recovered const& contents, std::uint32_t id = 0)
    {
        if (!all_vote())
            return;
        trace_ << "!";
        id = id == 0 ? random_id() : id;
        group_.kill(id);
        discarded_disks_.insert(disk_of(instance_id(id)));
        group_.at(id).disk.replace_contents(contents);
        group_.start(id);
    }

    /// Returns whether each instance's current disk has a vote in the committed membership.
    bool all_vote()
    {
        auto const leader = group_.acting_leader();
        if (leader == 0)
            return false;
        group_.answers.clear();
        group_.send_operator_request(leader, any_message::of(list_members{}));
        auto const& listed = *group_.answers.back().get<members_listed>();
        std::size_t n = 0;
        for (auto const& it : listed.members)
            n += it.votes && disk_of(it.id) == it.disk && discarded_disks_.count(it.disk) == 0 ? 1
                                                                                               : 0;
        return n == size_ && listed.settled;
    }

    disk_id disk_of(instance_id id) { return group_.at(id.value()).disk.contents().state.disk; }

    void propose_some()
    {
        auto const n = random_below(12);
        for (std::size_t k = 0; k != n; ++k)
            group_.propose(++last_value_);
    }

    /// Records the values that any replica has applied; these are accepted.
    void record_accepted()
    {
        for (std::uint32_t id = 1; id <= size_; ++id)
            if (group_.is_up(id))
                for (auto const value : group_.recorder_of(id).state.values)
                    accepted_.insert(value);
    }

    std::uint32_t size_;
    fake_group group_;
    random_source random_;
    std::uint64_t last_value_ = 0;
    std::set<std::uint64_t> accepted_;
    std::set<disk_id> discarded_disks_; ///< Older images of these disks must not vote again.
    disk_recovered copied_disk_;
    std::uint32_t copy_count_ = 0;
    std::ostringstream trace_;
};

constexpr std::array<fault, 18> faults{{
    {"nothing", [](schedule& it) { it.nothing(); }},
    {"kill", [](schedule& it) { it.kill_one(); }},
    {"restart", [](schedule& it) { it.restart_one(); }},
    {"restart_all", [](schedule& it) { it.restart_all(); }},
    {"cut_one_way", [](schedule& it) { it.cut_one_way(); }},
    {"isolate_leader", [](schedule& it) { it.isolate_leader(); }},
    {"silence_leader", [](schedule& it) { it.silence_leader(); }},
    {"hand_over_lead", [](schedule& it) { it.hand_over_lead(); }},
    {"heal", [](schedule& it) { it.heal_cuts(); }},
    {"freeze", [](schedule& it) { it.freeze_one(); }},
    {"fail_disk", [](schedule& it) { it.fail_disk(); }},
    {"mend_disks", [](schedule& it) { it.mend_disks(); }},
    {"fill_disk_of_leader", [](schedule& it) { it.fill_disk_of_leader(); }},
    {"change_disk_speed", [](schedule& it) { it.change_disk_speed(); }},
    {"replace_disk", [](schedule& it) { it.replace_disk(); }},
    {"copy_disk", [](schedule& it) { it.copy_disk(); }},
    {"restore_copied_disk", [](schedule& it) { it.restore_copied_disk(); }},
    {"restore_image", [](schedule& it) { it.restore_image(); }},
}};

class random_schedules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(random_schedules_test);
    CPPUNIT_TEST(three_replicas_keep_accepted_values);
    CPPUNIT_TEST(five_replicas_keep_accepted_values);
    CPPUNIT_TEST_SUITE_END();

public:
    void three_replicas_keep_accepted_values()
    {
        run_schedules(3, number_from_environment("MULBERRYRUDDER_SCHEDULES", 2000));
    }

    void five_replicas_keep_accepted_values()
    {
        run_schedules(5, number_from_environment("MULBERRYRUDDER_SCHEDULES", 400));
    }

private:
    static void run_schedules(std::size_t size, std::uint64_t schedule_count)
    {
        std::size_t accepted = 0;
        for (auto seed = first_seed(); seed != first_seed() + schedule_count; ++seed)
            accepted += run_one(size, seed);
        // Guards against schedules that accept too few values to test anything.
        constexpr std::size_t min_average = 10;
        CPPUNIT_ASSERT(accepted >= min_average * schedule_count);
    }

    static std::size_t run_one(std::size_t size, std::uint64_t seed)
    {
        schedule tested(size, seed);
        std::string error;
        try
        {
            tested.run(faults);
            error = tested.recover();
        }
        catch (invariant_violated const& e)
        {
            error = e.what();
        }
        auto const trace = "seed " + std::to_string(seed) + tested.trace() + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(trace, std::string(), error);
        return tested.accepted();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_schedules_test);

} // namespace

} // namespace mulberryrudder::control::testing
