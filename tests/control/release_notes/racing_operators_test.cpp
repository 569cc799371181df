#include "../support/replica.hpp"
#include "../support/sample_notes.hpp"

#include <mulberryrudder/control/operator_answers.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr int schedule_count = 1000;
constexpr int steps_per_schedule = 60;
constexpr std::size_t replica_count = 3;
constexpr std::uint64_t contested_numbers = 4;

/// A group of replicas with one shared sequence of committed entries. Leaders change, only
/// a prefix of an old leader's proposals is committed, replicas lag behind, and some submissions
/// get no definite answer.
class racing_group
{
public:
    explicit racing_group(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t n = 0; n != replica_count; ++n)
        {
            members_.push_back(
                std::make_unique<replica>(instance_id(static_cast<std::uint32_t>(n + 1))));
            members_.back()->log().leads = n == 0;
        }
        submit(0, first_note(100));
        commit_some(1);
        deliver_all();
    }

    void run()
    {
        for (int n = 0; n != steps_per_schedule; ++n)
            step();
        change_leader();
        deliver_all();
        check_final_state();
    }

private:
    /// A note and the replica that an operator sent it to.
    struct sent_note
    {
        std::size_t receiver;
        operator_request_id id;
        release_note note;
    };

    std::uint64_t pick(std::uint64_t limit) { return random_() % limit; }

    void step()
    {
        switch (pick(8))
        {
        case 0:
        case 1:
        case 2:
            return submit(pick(replica_count), racing_note());
        case 3:
        case 4:
            return commit_some(1 + pick(2));
        case 5:
            return deliver(pick(replica_count));
        case 6:
            return change_leader();
        default:
            return pass_time();
        }
    }

    /// Draws from few numbers and few contents, so that conflicts and resends are frequent.
    release_note racing_note()
    {
        auto out =
            rate_note(1 + pick(contested_numbers), 1000 * static_cast<std::int64_t>(1 + pick(3)));
        if (pick(4) == 0)
            out.based_on = generation_id(1 + pick(4));
        if (pick(5) == 0)
            out.change.customers[customer_id("absent")].rate = millitokens_per_second(1000);
        return out;
    }

    void submit(std::size_t receiver, release_note const& note)
    {
        sent_.push_back({receiver, members_[receiver]->ask(submission(note)), note});
        check_answers();
    }

    /// Commits up to `n` of the leader's oldest proposals.
    void commit_some(std::uint64_t n)
    {
        auto& proposed = members_[leader_]->log().proposed;
        while (n-- != 0 && !proposed.empty())
        {
            auto it = proposed.front();
            proposed.erase(proposed.begin());
            check_invariant(it.index.value() == committed_.size() + 1,
                            "the leader appends entries in order");
            committed_.push_back(it);
            deliver(leader_);
        }
    }

    /// Lets a replica apply committed entries: the leader all of them, others a random prefix.
    void deliver(std::size_t receiver)
    {
        auto& log = members_[receiver]->log();
        auto const applied = log.last_applied.value();
        auto const last = receiver == leader_ ? committed_.size()
                                              : applied + pick(committed_.size() - applied + 1);
        for (auto n = applied; n != last; ++n)
            log.committed.push_back(committed_[n]);
        tick(receiver);
    }

    void deliver_all()
    {
        for (std::size_t n = 0; n != members_.size(); ++n)
            catch_up(n);
    }

    /// Replaces the leader. A random prefix of the old leader's proposals survives. The old
    /// leader steps down before or after it applies the new leader's entries.
    void change_leader()
    {
        auto& old_log = members_[leader_]->log();
        auto const surviving = pick(old_log.proposed.size() + 1);
        for (std::size_t n = 0; n != surviving; ++n)
            committed_.push_back(old_log.proposed[n]);
        old_log.proposed.clear();
        old_log.leads = false;
        auto const old_leader = leader_;
        bool const steps_down_first = pick(2) == 0;
        if (steps_down_first)
            step_down(old_leader);
        leader_ = pick(replica_count);
        start_term();
        if (steps_down_first)
            return;
        catch_up(old_leader);
        step_down(old_leader);
    }

    void step_down(std::size_t n)
    {
        members_[n]->log().step_down = true;
        tick(n);
    }

    void catch_up(std::size_t n)
    {
        auto& log = members_[n]->log();
        for (auto k = log.last_applied.value(); k != committed_.size(); ++k)
            log.committed.push_back(committed_[k]);
        tick(n);
    }

    void start_term()
    {
        ++term_;
        for (auto& it : members_)
            it->log().known_leader = instance_id(static_cast<std::uint32_t>(leader_ + 1));
        auto& log = members_[leader_]->log();
        log.current_term = term_id(term_);
        committed_.push_back(
            {term_id(term_), log_index(committed_.size() + 1), any_message::of(0)});
        catch_up(leader_);
        log.leads = true;
    }

    void pass_time() { tick(pick(replica_count), seconds(4)); }

    void tick(std::size_t n, span elapsed = milliseconds(10))
    {
        auto const before = members_[n]->state().config()->generation;
        members_[n]->tick(elapsed);
        check_invariant(members_[n]->state().config()->generation >= before,
                        "the generation never decreases");
        check_answers();
    }

    /// Checks the answers so far: for each number only one content is ever accepted, always
    /// with the same generation, and a note does not conflict with itself.
    void check_answers()
    {
        for (auto const& it : sent_)
        {
            if (members_[it.receiver]->answer_type(it.id) != typeid(note_answer))
                continue;
            auto const reply = members_[it.receiver]->template answer<note_answer>(it.id);
            if (reply.result.outcome == change_outcome::accepted)
                check_acceptance(it, reply);
            if (reply.result.outcome == change_outcome::conflict && reply.result.winner &&
                reply.result.winner->number == it.note.number)
                check_invariant(reply.result.winner->content != content_digest(it.note),
                                "a note does not conflict with itself");
        }
    }

    void check_acceptance(sent_note const& it, note_answer const& reply)
    {
        auto const content = content_digest(it.note);
        auto const winner =
            winners_.emplace(it.note.number, std::pair(content, reply.result.generation));
        check_invariant(winner.first->second.first == content,
                        "only one content is accepted for a number");
        check_invariant(winner.first->second.second == reply.result.generation,
                        "a resent note gets the generation of its first answer");
    }

    void check_final_state()
    {
        for (auto const& it : members_)
        {
            check_invariant(*it->state().config() == *members_[0]->state().config(),
                            "replicas with the same log have the same state");
            for (auto const& [number, winner] : winners_)
            {
                auto const* const record = it->state().find_note(number);
                check_invariant(record != nullptr && record->content == winner.first &&
                                    record->generation == winner.second,
                                "an accepted note stays in force");
            }
        }
        for (auto const& it : sent_)
            check_refusal(it);
    }

    /// Checks that a refused note is not in force and was refused for a reason.
    void check_refusal(sent_note const& it)
    {
        if (members_[it.receiver]->answer_type(it.id) != typeid(note_answer))
            return;
        auto const reply = members_[it.receiver]->template answer<note_answer>(it.id);
        auto const* const record = members_[0]->state().find_note(it.note.number);
        bool const in_force = record != nullptr && record->content == content_digest(it.note);
        bool const absent_customer = it.note.change.customers.contains(customer_id("absent"));
        if (reply.result.outcome == change_outcome::refused)
            check_invariant(!in_force && absent_customer, "a refused note is not in force");
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<replica>> members_;
    std::vector<log_entry> committed_;
    std::vector<sent_note> sent_;
    std::map<note_number, std::pair<digest, generation_id>> winners_;
    std::size_t leader_ = 0;
    std::uint64_t term_ = 1;
};

class racing_operators_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(racing_operators_test);
    CPPUNIT_TEST(each_number_is_won_by_one_note_and_accepted_notes_never_revert);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_number_is_won_by_one_note_and_accepted_notes_never_revert()
    {
        for (std::uint64_t seed = 1; seed <= schedule_count; ++seed)
            run_schedule(seed);
    }

private:
    static void run_schedule(std::uint64_t seed)
    {
        try
        {
            racing_group(seed).run();
        }
        catch (std::exception const& e)
        {
            CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + e.what());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(racing_operators_test);

} // namespace

} // namespace mulberryrudder::control::testing
