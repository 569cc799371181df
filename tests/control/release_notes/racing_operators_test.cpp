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

constexpr int schedules = 1000;
constexpr int steps_a_schedule = 60;
constexpr std::size_t replicas_a_group = 3;
constexpr std::uint64_t numbers_raced_for = 4;

/// A group of replicas over one shared truth of what is committed. Leaders change,
/// what a leader proposed is committed in part, replicas lag, answers are lost.
class racing_group
{
public:
    explicit racing_group(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t n = 0; n != replicas_a_group; ++n)
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
        for (int n = 0; n != steps_a_schedule; ++n)
            step();
        change_leader();
        deliver_all();
        check_end();
    }

private:
    struct sent_note
    {
        std::size_t to;
        operator_request_id id;
        release_note note;
    };

    std::uint64_t pick(std::uint64_t below) { return random_() % below; }

    void step()
    {
        switch (pick(8))
        {
        case 0:
        case 1:
        case 2:
            return submit(pick(replicas_a_group), racing_note());
        case 3:
        case 4:
            return commit_some(1 + pick(2));
        case 5:
            return deliver(pick(replicas_a_group));
        case 6:
            return change_leader();
        default:
            return pass_time();
        }
    }

    /// Few numbers and few contents, so that races and resends are frequent.
    release_note racing_note()
    {
        auto out =
            rate_note(1 + pick(numbers_raced_for), 1000 * static_cast<std::int64_t>(1 + pick(3)));
        if (pick(4) == 0)
            out.based_on = generation_id(1 + pick(4));
        if (pick(5) == 0)
            out.change.customers[customer_id("absent")].rate = millitokens_per_second(1000);
        return out;
    }

    void submit(std::size_t to, release_note const& note)
    {
        sent_.push_back({to, members_[to]->ask(submission(note)), note});
        check_answers();
    }

    /// Commits the first of what the leader proposed.
    void commit_some(std::uint64_t n)
    {
        auto& proposed = members_[leader_]->log().proposed;
        while (n-- != 0 && !proposed.empty())
        {
            auto it = proposed.front();
            proposed.erase(proposed.begin());
            check_invariant(it.index.value() == truth_.size() + 1, "the leader appends in order");
            truth_.push_back(it);
            deliver(leader_);
        }
    }

    /// Lets a replica apply up to what is committed, not always all of it.
    void deliver(std::size_t to)
    {
        auto& log = members_[to]->log();
        auto const known = log.last_applied.value();
        auto const upto = to == leader_ ? truth_.size() : known + pick(truth_.size() - known + 1);
        for (auto n = known; n != upto; ++n)
            log.committed.push_back(truth_[n]);
        tick(to);
    }

    void deliver_all()
    {
        for (std::size_t n = 0; n != members_.size(); ++n)
            catch_up(n);
    }

    /// Of what the old leader proposed a random first part survives. The old leader
    /// hears of its end before or after it hears of the new leader's entries.
    void change_leader()
    {
        auto& old_log = members_[leader_]->log();
        auto const survive = pick(old_log.proposed.size() + 1);
        for (std::size_t n = 0; n != survive; ++n)
            truth_.push_back(old_log.proposed[n]);
        old_log.proposed.clear();
        old_log.leads = false;
        auto const old_leader = leader_;
        bool const told_first = pick(2) == 0;
        if (told_first)
            tell_end(old_leader);
        leader_ = pick(replicas_a_group);
        lead();
        if (told_first)
            return;
        catch_up(old_leader);
        tell_end(old_leader);
    }

    void tell_end(std::size_t n)
    {
        members_[n]->log().step_down = true;
        tick(n);
    }

    void catch_up(std::size_t n)
    {
        auto& log = members_[n]->log();
        for (auto k = log.last_applied.value(); k != truth_.size(); ++k)
            log.committed.push_back(truth_[k]);
        tick(n);
    }

    void lead()
    {
        ++term_;
        for (auto& it : members_)
            it->log().known_leader = instance_id(static_cast<std::uint32_t>(leader_ + 1));
        auto& log = members_[leader_]->log();
        log.current_term = term_id(term_);
        truth_.push_back({term_id(term_), log_index(truth_.size() + 1), any_message::of(0)});
        catch_up(leader_);
        log.leads = true;
    }

    void pass_time() { tick(pick(replicas_a_group), seconds(4)); }

    void tick(std::size_t n, span passed = milliseconds(10))
    {
        auto const before = members_[n]->state().config()->generation;
        members_[n]->tick(passed);
        check_invariant(members_[n]->state().config()->generation >= before,
                        "the generation only grows");
        check_answers();
    }

    /// What was told accepted is committed, under one content a number for ever.
    void check_answers()
    {
        for (auto const& it : sent_)
        {
            if (members_[it.to]->answer_type(it.id) != typeid(note_answer))
                continue;
            auto const got = members_[it.to]->template answer<note_answer>(it.id);
            if (got.result.outcome == change_outcome::accepted)
                check_accepted(it, got);
            if (got.result.outcome == change_outcome::conflict && got.result.winner &&
                got.result.winner->number == it.note.number)
                check_invariant(got.result.winner->content != content_digest(it.note),
                                "the same note is no conflict");
        }
    }

    void check_accepted(sent_note const& it, note_answer const& got)
    {
        auto const content = content_digest(it.note);
        auto const won =
            winners_.emplace(it.note.number, std::pair(content, got.result.generation));
        check_invariant(won.first->second.first == content, "one content wins a number");
        check_invariant(won.first->second.second == got.result.generation,
                        "a resend gets the first answer");
    }

    void check_end()
    {
        for (auto const& it : members_)
        {
            check_invariant(*it->state().config() == *members_[0]->state().config(),
                            "replicas with the same log have the same state");
            for (auto const& [number, won] : winners_)
            {
                auto const* const record = it->state().find_note(number);
                check_invariant(record != nullptr && record->content == won.first &&
                                    record->generation == won.second,
                                "what was accepted stays");
            }
        }
        for (auto const& it : sent_)
            check_refused(it);
    }

    /// A refusal is true: the note's own command, if there was one, changed nothing.
    void check_refused(sent_note const& it)
    {
        if (members_[it.to]->answer_type(it.id) != typeid(note_answer))
            return;
        auto const got = members_[it.to]->template answer<note_answer>(it.id);
        auto const* const record = members_[0]->state().find_note(it.note.number);
        bool const in_force = record != nullptr && record->content == content_digest(it.note);
        bool const absent_customer = it.note.change.customers.contains(customer_id("absent"));
        if (got.result.outcome == change_outcome::refused)
            check_invariant(!in_force && absent_customer, "a refused note is not in force");
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<replica>> members_;
    std::vector<log_entry> truth_;
    std::vector<sent_note> sent_;
    std::map<note_number, std::pair<digest, generation_id>> winners_;
    std::size_t leader_ = 0;
    std::uint64_t term_ = 1;
};

class racing_operators_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(racing_operators_test);
    CPPUNIT_TEST(one_note_a_number_wins_and_what_was_accepted_never_reverts);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_note_a_number_wins_and_what_was_accepted_never_reverts()
    {
        for (std::uint64_t seed = 1; seed <= schedules; ++seed)
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
