#include "plugins/entry/versions/share_counter.hpp"

#include <mulberryrudder/core/random.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace mulberryrudder::entry
{

namespace
{

/// One request on its way, with the version that was chosen for it.
struct pending
{
    request_id id;
    bool to_new = false;
};

class share_counter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_counter_test);
    CPPUNIT_TEST(the_new_version_is_never_above_its_share_at_any_prefix);
    CPPUNIT_TEST(the_new_version_gets_its_whole_share);
    CPPUNIT_TEST(a_raised_share_does_not_catch_up);
    CPPUNIT_TEST(a_place_that_was_not_used_is_given_back);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The counter asserts the invariant itself; this checks the same from outside,
    /// by a ledger of each window's sendings.
    void the_new_version_is_never_above_its_share_at_any_prefix()
    {
        for (std::uint64_t seed = 1; seed <= 1000; ++seed)
            run_schedule(seed);
    }

    void the_new_version_gets_its_whole_share()
    {
        share_counter it;
        it.set_share(per_mille(300));
        for (std::uint64_t n = 1; n <= 1000; ++n)
            it.sent(request_id(n), it.take_place(request_id(n)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{300}, it.sent_to_new().count());
    }

    void a_raised_share_does_not_catch_up()
    {
        share_counter it;
        it.set_share(per_mille(10));
        for (std::uint64_t n = 1; n <= 1000; ++n)
            it.sent(request_id(n), it.take_place(request_id(n)));
        it.set_share(per_mille(500));
        auto const before = it.sent_to_new();
        for (std::uint64_t n = 2001; n <= 2010; ++n)
            it.sent(request_id(n), it.take_place(request_id(n)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, (it.sent_to_new() - before).count());
    }

    void a_place_that_was_not_used_is_given_back()
    {
        share_counter it;
        it.set_share(per_mille(1000));
        CPPUNIT_ASSERT(it.take_place(request_id(1)));
        CPPUNIT_ASSERT(!it.take_place(request_id(2)));
        it.give_back(request_id(1));
        CPPUNIT_ASSERT(it.take_place(request_id(2)));
    }

private:
    static void run_schedule(std::uint64_t seed)
    {
        random_source random(seed);
        share_counter it;
        std::deque<pending> waiting;
        std::int64_t highest = 0;
        std::int64_t to_new = 0;
        std::int64_t all = 0;
        for (std::uint64_t n = 1; n <= 400; ++n)
        {
            if (random() % 50 == 0)
            {
                auto const share = static_cast<std::int64_t>(random() % 1001);
                it.set_share(per_mille(share));
                highest = std::max(highest, share);
            }
            request_id const id(n);
            waiting.push_back({id, it.take_place(id)});
            while (!waiting.empty() && random() % 3 != 0)
            {
                auto const at =
                    waiting.begin() + static_cast<std::ptrdiff_t>(random() % waiting.size());
                auto const next = *at;
                waiting.erase(at);
                if (random() % 5 == 0)
                {
                    it.give_back(next.id);
                    continue;
                }
                it.sent(next.id, next.to_new);
                ++all;
                to_new += next.to_new ? 1 : 0;
                CPPUNIT_ASSERT_MESSAGE("above the share with seed " + std::to_string(seed),
                                       to_new * 1000 <= highest * all);
            }
        }
        CPPUNIT_ASSERT_EQUAL(to_new, it.sent_to_new().count());
        CPPUNIT_ASSERT_EQUAL(all, it.sent_to_all().count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_counter_test);

} // namespace

} // namespace mulberryrudder::entry
