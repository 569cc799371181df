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

constexpr span lease_duration = seconds(4);

/// Grants leases at random to up to five instances that start, pause and restart, and
/// measures by how much the shares of those with a live lease exceed the whole.
class random_lease_run
{
public:
    explicit random_lease_run(std::uint64_t seed) : random_(seed) {}

    /// Returns the largest excess of the shares' sum over the whole; not positive if correct.
    std::int64_t worst_excess()
    {
        std::int64_t worst = INT64_MIN;
        for (int n = 0; n != 400; ++n)
        {
            now_ += milliseconds(random_() % 700);
            step(random_() % 5);
            worst = std::max(worst, excess());
        }
        return worst;
    }

private:
    struct lease_holder
    {
        lease_shares shares;
        instant lease_end;
    };

    void step(std::size_t index)
    {
        if (random_() % 4 == 0)
            holders_[index] = {}; // Restarts without state; its lease still counts as live.
        else
            renew(index);
    }

    void renew(std::size_t index)
    {
        live_until_[index] = now_ + lease_duration;
        sharing current;
        for (auto const& [id, until] : live_until_)
        {
            if (until <= now_)
                continue;
            current.rank += id < index ? 1 : 0;
            ++current.count;
        }
        holders_[index].shares.learn(current, now_, lease_duration);
        holders_[index].lease_end = now_ + lease_duration;
    }

    std::int64_t excess()
    {
        std::int64_t sum = 0;
        for (auto& [id, it] : holders_)
        {
            it.shares.expire(now_);
            if (now_ < it.lease_end)
                sum += it.shares.part_of(whole, 3);
        }
        return sum - whole;
    }

    static constexpr std::int64_t whole = 7;
    std::mt19937_64 random_;
    instant now_{seconds(100)};
    std::map<std::size_t, lease_holder> holders_;
    std::map<std::size_t, instant> live_until_;
};

class lease_shares_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_shares_test);
    CPPUNIT_TEST(a_new_instance_has_no_share_until_older_leases_have_lapsed);
    CPPUNIT_TEST(stable_shares_sum_to_the_whole);
    CPPUNIT_TEST(a_share_shrinks_at_once_and_grows_after_a_lease);
    CPPUNIT_TEST(a_share_restarts_from_zero_after_a_lapse);
    CPPUNIT_TEST(shares_of_lease_holders_never_exceed_the_whole);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_new_instance_has_no_share_until_older_leases_have_lapsed()
    {
        lease_shares shares;
        shares.learn({0, 1}, now_, lease_duration);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, shares.part_of(10, 0));
        shares.expire(now_ + lease_duration);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, shares.part_of(10, 0));
    }

    void stable_shares_sum_to_the_whole()
    {
        for (std::uint64_t salt = 0; salt != 5; ++salt)
        {
            std::int64_t sum = 0;
            for (std::size_t rank = 0; rank != 3; ++rank)
                sum += settled({rank, 3}).part_of(10, salt);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, sum);
        }
    }

    void a_share_shrinks_at_once_and_grows_after_a_lease()
    {
        auto shares = settled({0, 1});
        auto const later = now_ + seconds(3);
        shares.learn({0, 2}, later, lease_duration);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, shares.part_of(10, 0));
        shares.learn({0, 1}, later, lease_duration);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, shares.part_of(10, 0));
        shares.expire(later + lease_duration);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, shares.part_of(10, 0));
    }

    void a_share_restarts_from_zero_after_a_lapse()
    {
        auto shares = settled({0, 2});
        shares.learn({0, 2}, now_ + lease_duration, lease_duration);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, shares.part_of(10, 0));
    }

    void shares_of_lease_holders_never_exceed_the_whole()
    {
        for (std::uint64_t seed = 1; seed != 501; ++seed)
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   random_lease_run(seed).worst_excess() <= 0);
    }

private:
    lease_shares settled(sharing settled_sharing)
    {
        lease_shares shares;
        shares.learn(settled_sharing, now_, lease_duration);
        shares.expire(now_ + lease_duration);
        return shares;
    }

    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_shares_test);

} // namespace

} // namespace mulberryrudder::entry
