#include "plugins/control/quota/part_ledger.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

class part_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(part_ledger_test);
    CPPUNIT_TEST(loans_add_to_the_own_part_until_they_expire);
    CPPUNIT_TEST(loans_alone_are_available_while_the_own_part_is_unknown);
    CPPUNIT_TEST(parts_do_not_exceed_the_rate);
    CPPUNIT_TEST(admitted_requests_are_accounted_for_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void loans_add_to_the_own_part_until_they_expire()
    {
        ledger_.lend(instance_id(2), per_mille(100), now_);
        ledger_.lend(instance_id(3), per_mille(200), now_);
        ledger_.lend(instance_id(2), per_mille(150), now_ + milliseconds(500));
        auto const own = per_mille(300);
        CPPUNIT_ASSERT(ledger_.available(own, now_ + milliseconds(999)) == per_mille(650));
        CPPUNIT_ASSERT(ledger_.available(own, now_ + milliseconds(1000)) == per_mille(450));
        CPPUNIT_ASSERT(ledger_.available(own, now_ + milliseconds(1500)) == own);
    }

    void loans_alone_are_available_while_the_own_part_is_unknown()
    {
        CPPUNIT_ASSERT(ledger_.available(std::nullopt, now_) == per_mille());
        ledger_.lend(instance_id(2), per_mille(100), now_);
        CPPUNIT_ASSERT(ledger_.available(std::nullopt, now_) == per_mille(100));
    }

    // Guards against QUOTA: an entry that changes its control instance counts at two for a moment.
    void parts_do_not_exceed_the_rate()
    {
        ledger_.lend(instance_id(2), per_mille(600), now_);
        CPPUNIT_ASSERT(ledger_.available(per_mille(600), now_) == whole_share);
    }

    void admitted_requests_are_accounted_for_once()
    {
        ledger_.open(std::set<customer_id>{}, now_);
        CPPUNIT_ASSERT(ledger_.admit(office_, requests(4), whole_share, now_) == requests(4));
        CPPUNIT_ASSERT(ledger_.admit(office_, requests(3), whole_share, now_) == requests(3));
        auto const spent = ledger_.take_spent();
        CPPUNIT_ASSERT(spent.at(office_.id) == requests(7));
        CPPUNIT_ASSERT(ledger_.take_spent().empty());
        ledger_.add_spent(spent);
        ledger_.admit(office_, requests(1), whole_share, now_);
        CPPUNIT_ASSERT(ledger_.take_spent().at(office_.id) == requests(8));
    }

private:
    plan_customer office_{.id = customer_id("office"),
                          .keys = {},
                          .rank = std::nullopt,
                          .rate = millitokens_per_second(20'000),
                          .burst = millitokens(20'000),
                          .homes = {}};
    part_ledger ledger_{requests(20)};
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_ledger_test);

} // namespace

} // namespace mulberryrudder::control
