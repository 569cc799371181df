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

/// Returns a number from the environment, for longer runs and for one failed seed.
std::uint64_t number_from(char const* variable, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(variable);
    return text == nullptr ? otherwise : std::stoull(text);
}

std::uint64_t first_seed()
{
    return number_from("MULBERRYRUDDER_SEED", 20261204);
}

/// One fault of a schedule; the names tell a failed run's reader what happened.
struct fault
{
    char const* name;
    void (*strike)(class schedule&);
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
            // Rates differ by up to eight in a hundred, offsets by anything.
            auto& it = group_.at(id);
            it.clock_rate = 0.96 + 0.08 * share();
            it.clock_offset = seconds(pick(1000));
            group_.start(id);
        }
        if (!group_.run_until([this] { return group_.acting() != 0; }, seconds(20)))
            throw invariant_violated("no leader after the founding");
        copy_disk();
    }

    void run(std::array<fault, 14> const& faults)
    {
        group_.network.lost = 0.05 * share();
        group_.network.duplicated = 0.1 * share();
        group_.network.most_delay = milliseconds(1 + pick(150));
        group_.sync_delay = milliseconds(1 + pick(30));
        constexpr std::size_t steps = 25;
        for (std::size_t n = 0; n != steps; ++n)
        {
            auto const& it = faults[pick(faults.size())];
            trace_ << " " << group_.now().time_since_epoch().count() / 1000 << ":" << it.name;
            it.strike(*this);
            propose_some();
            group_.run_for(milliseconds(pick(1200)));
            note_accepted();
        }
    }

    /// Ends all faults; returns what is wrong with the group then, empty if nothing.
    std::string settle()
    {
        group_.heal();
        for (std::uint32_t id = 1; id <= size_; ++id)
            restart(id);
        auto const settled = [this] { return all_vote() && group_.acting() != 0; };
        if (!group_.run_until(settled, seconds(60)))
            return "the group does not settle";
        group_.propose(++last_value_);
        group_.run_for(seconds(5));
        note_accepted();
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
        auto const id = any();
        if (group_.is_up(id))
            group_.kill(id);
    }
    void restart_one() { restart(any()); }
    void restart_all()
    {
        for (std::uint32_t id = 1; id <= size_; ++id)
            restart(id);
    }
    void cut_one_way() { group_.set_cut(any(), any(), true); }
    void isolate_leader()
    {
        if (auto const id = group_.acting())
            group_.isolate(id);
    }
    /// One replica hears nothing of the leader for a while, then the leader is cut
    /// off, and the third may restart: nobody may lead before the lease has ended.
    void silence_leader()
    {
        auto const leader = group_.acting();
        auto const deaf = any();
        if (leader == 0 || deaf == leader)
            return;
        group_.set_cut(leader, deaf, true);
        group_.run_for(milliseconds(1000 + pick(2500)));
        group_.isolate(leader);
        if (auto const id = any(); id != leader && id != deaf && pick(2) == 0)
            restart(id);
        group_.run_for(milliseconds(1500));
        heal_cuts();
    }
    void heal_cuts()
    {
        for (std::uint32_t from = 1; from <= size_; ++from)
            for (std::uint32_t to = 1; to <= size_; ++to)
                group_.set_cut(from, to, false);
    }
    void freeze_one() { group_.freeze(any(), milliseconds(pick(4000))); }
    void fail_disk() { group_.fail_disk(any()); }
    void replace_disk() { exchange_disk({}); }
    void copy_disk() { older_ = group_.at(1 + copied_++ % size_).disk.contents(); }
    void restore_copied_disk()
    {
        auto copy = older_;
        copy.copied = true;
        exchange_disk(copy, 1 + (copied_ - 1) % size_);
    }
    /// Takes a block image, lets the instance start once more, and puts the image
    /// back: only the start's record at the others can tell.
    void restore_image()
    {
        auto const id = any();
        heal_cuts();
        restart_all();
        group_.run_for(seconds(5));
        auto const image = group_.at(id).disk.contents();
        restart(id);
        propose_some();
        group_.run_for(seconds(5));
        exchange_disk(image, id);
    }

private:
    static replica_settings fast_settings()
    {
        return {.snapshot_threshold = 20, .append_batch = 8};
    }

    double share() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::size_t pick(std::size_t below) { return random_() % below; }
    std::uint32_t any() { return static_cast<std::uint32_t>(1 + pick(size_)); }

    void restart(std::uint32_t id)
    {
        if (group_.is_up(id))
            group_.kill(id);
        group_.start(id);
    }

    /// Gives an instance other disk contents, if the group can bear that: all
    /// others hold a vote and nobody else is being repaired.
    void exchange_disk(disk_recovered const& contents, std::uint32_t id = 0)
    {
        if (!all_vote())
            return;
        trace_ << "!";
        id = id == 0 ? any() : id;
        group_.kill(id);
        lost_disks_.insert(disk_of(instance_id(id)));
        group_.at(id).disk.replace_contents(contents);
        group_.start(id);
    }

    /// Returns whether each instance's disk counts in the committed membership.
    bool all_vote()
    {
        auto const leader = group_.acting();
        if (leader == 0)
            return false;
        group_.answers.clear();
        group_.ask(leader, any_message::of(list_members{}));
        auto const& listed = *group_.answers.back().get<members_listed>();
        std::size_t n = 0;
        for (auto const& it : listed.members)
            n += it.votes && disk_of(it.id) == it.disk && lost_disks_.count(it.disk) == 0 ? 1 : 0;
        return n == size_ && listed.settled;
    }

    disk_id disk_of(instance_id id) { return group_.at(id.value()).disk.contents().state.disk; }

    void propose_some()
    {
        auto const n = pick(12);
        for (std::size_t k = 0; k != n; ++k)
            group_.propose(++last_value_);
    }

    /// A value is accepted once any replica applied it.
    void note_accepted()
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
    std::set<disk_id> lost_disks_; ///< An older image of one must not vote again.
    disk_recovered older_;
    std::uint32_t copied_ = 0;
    std::ostringstream trace_;
};

constexpr std::array<fault, 14> faults{{
    {"nothing", [](schedule& it) { it.nothing(); }},
    {"kill", [](schedule& it) { it.kill_one(); }},
    {"restart", [](schedule& it) { it.restart_one(); }},
    {"restart_all", [](schedule& it) { it.restart_all(); }},
    {"cut_one_way", [](schedule& it) { it.cut_one_way(); }},
    {"isolate_leader", [](schedule& it) { it.isolate_leader(); }},
    {"silence_leader", [](schedule& it) { it.silence_leader(); }},
    {"heal", [](schedule& it) { it.heal_cuts(); }},
    {"freeze", [](schedule& it) { it.freeze_one(); }},
    {"fail_disk", [](schedule& it) { it.fail_disk(); }},
    {"replace_disk", [](schedule& it) { it.replace_disk(); }},
    {"copy_disk", [](schedule& it) { it.copy_disk(); }},
    {"restore_copied_disk", [](schedule& it) { it.restore_copied_disk(); }},
    {"restore_image", [](schedule& it) { it.restore_image(); }},
}};

class random_schedules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(random_schedules_test);
    CPPUNIT_TEST(three_replicas_keep_what_was_accepted);
    CPPUNIT_TEST(five_replicas_keep_what_was_accepted);
    CPPUNIT_TEST_SUITE_END();

public:
    void three_replicas_keep_what_was_accepted()
    {
        run_schedules(3, number_from("MULBERRYRUDDER_SCHEDULES", 2000));
    }

    void five_replicas_keep_what_was_accepted()
    {
        run_schedules(5, number_from("MULBERRYRUDDER_SCHEDULES", 400));
    }

private:
    static void run_schedules(std::size_t size, std::uint64_t count)
    {
        std::size_t accepted = 0;
        for (auto seed = first_seed(); seed != first_seed() + count; ++seed)
            accepted += run_one(size, seed);
        // Schedules in which little is accepted would prove little.
        constexpr std::size_t least_on_average = 10;
        CPPUNIT_ASSERT(accepted >= least_on_average * count);
    }

    static std::size_t run_one(std::size_t size, std::uint64_t seed)
    {
        schedule it(size, seed);
        std::string wrong;
        try
        {
            it.run(faults);
            wrong = it.settle();
        }
        catch (invariant_violated const& e)
        {
            wrong = e.what();
        }
        auto const place = "seed " + std::to_string(seed) + it.trace() + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(place, std::string(), wrong);
        return it.accepted();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_schedules_test);

} // namespace

} // namespace mulberryrudder::control::testing
