#include <mulberryrudder/entry/lease_shares.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

namespace mulberryrudder::entry
{

namespace
{

constexpr span lease_span = seconds(4);

/// Grants leases to up to five instances that come, freeze and go, and checks that
/// the parts of those with a live lease never sum to more than the whole.
class sharing_run
{
public:
    explicit sharing_run(std::uint64_t seed) : random_(seed) {}

    std::int64_t worst_excess()
    {
        std::int64_t worst = INT64_MIN;
        for (int n = 0; n != 400; ++n)
        {
            now_ += milliseconds(random_() % 700);
            act(random_() % 5);
            worst = std::max(worst, excess());
        }
        return worst;
    }

private:
    struct holder
    {
        lease_shares shares;
        instant until;
    };

    void act(std::size_t who)
    {
        if (random_() % 4 == 0)
            holders_[who] = {}; // Restarts without memory; its lease still counts as live.
        else
            renew(who);
    }

    void renew(std::size_t who)
    {
        live_until_[who] = now_ + lease_span;
        sharing now;
        for (auto const& [id, until] : live_until_)
        {
            if (until <= now_)
                continue;
            now.rank += id < who ? 1 : 0;
            ++now.count;
        }
        holders_[who].shares.learn(now, now_, lease_span);
        holders_[who].until = now_ + lease_span;
    }

    std::int64_t excess()
    {
        std::int64_t sum = 0;
        for (auto& [id, it] : holders_)
        {
            it.shares.expire(now_);
            if (now_ < it.until)
                sum += it.shares.part_of(whole, 3);
        }
        return sum - whole;
    }

    static constexpr std::int64_t whole = 7;
    std::mt19937_64 random_;
    instant now_{seconds(100)};
    std::map<std::size_t, holder> holders_;
    std::map<std::size_t, instant> live_until_;
};

class lease_shares_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_shares_test);
    CPPUNIT_TEST(a_newcomer_has_nothing_until_older_leases_have_lapsed);
    CPPUNIT_TEST(stable_parts_sum_to_the_whole);
    CPPUNIT_TEST(a_part_shrinks_at_once_and_grows_after_a_lease);
    CPPUNIT_TEST(a_part_is_begun_anew_after_a_lapse);
    CPPUNIT_TEST(parts_of_lease_holders_never_exceed_the_whole);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_newcomer_has_nothing_until_older_leases_have_lapsed()
    {
        lease_shares it;
        it.learn({0, 1}, now_, lease_span);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it.part_of(10, 0));
        it.expire(now_ + lease_span);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, it.part_of(10, 0));
    }

    void stable_parts_sum_to_the_whole()
    {
        for (std::uint64_t salt = 0; salt != 5; ++salt)
        {
            std::int64_t sum = 0;
            for (std::size_t rank = 0; rank != 3; ++rank)
                sum += settled({rank, 3}).part_of(10, salt);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, sum);
        }
    }

    void a_part_shrinks_at_once_and_grows_after_a_lease()
    {
        auto it = settled({0, 1});
        auto const later = now_ + seconds(3);
        it.learn({0, 2}, later, lease_span);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it.part_of(10, 0));
        it.learn({0, 1}, later, lease_span);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it.part_of(10, 0));
        it.expire(later + lease_span);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, it.part_of(10, 0));
    }

    void a_part_is_begun_anew_after_a_lapse()
    {
        auto it = settled({0, 2});
        it.learn({0, 2}, now_ + lease_span, lease_span);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it.part_of(10, 0));
    }

    void parts_of_lease_holders_never_exceed_the_whole()
    {
        for (std::uint64_t seed = 1; seed != 501; ++seed)
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   sharing_run(seed).worst_excess() <= 0);
    }

private:
    lease_shares settled(sharing what)
    {
        lease_shares it;
        it.learn(what, now_, lease_span);
        it.expire(now_ + lease_span);
        return it;
    }

    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_shares_test);

} // namespace

} // namespace mulberryrudder::entry
