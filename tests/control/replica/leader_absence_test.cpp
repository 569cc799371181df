#include <plugins/control/replica/leader_absence.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberryrudder::control
{

namespace
{

voter make_voter(std::uint32_t id, std::uint64_t disk)
{
    return {.id = instance_id(id), .disk = disk_id(disk), .peer = {}};
}

class leader_absence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leader_absence_test);
    CPPUNIT_TEST(an_absence_is_reported_once_and_its_end_once);
    CPPUNIT_TEST(an_election_is_no_absence);
    CPPUNIT_TEST(the_report_tells_voters_that_answer_from_those_that_do_not);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_absence_is_reported_once_and_its_end_once()
    {
        CPPUNIT_ASSERT(!absence_.update(now_ + seconds(2)));
        CPPUNIT_ASSERT(absence_.update(now_ + milliseconds(2100)));
        CPPUNIT_ASSERT(!absence_.update(now_ + seconds(60)));
        absence_.record_leader(now_ + seconds(60));
        CPPUNIT_ASSERT(absence_.update(now_ + seconds(60)));
        CPPUNIT_ASSERT_EQUAL(std::string("60000"), field("for_ms", now_ + seconds(60)));
        CPPUNIT_ASSERT(!absence_.update(now_ + seconds(61)));
    }

    void an_election_is_no_absence()
    {
        for (int n = 0; n != 10; ++n)
        {
            absence_.record_leader(now_ += milliseconds(1900));
            CPPUNIT_ASSERT(!absence_.update(now_));
        }
    }

    void the_report_tells_voters_that_answer_from_those_that_do_not()
    {
        absence_.record_heard(make_voter(2, 12), now_);
        absence_.record_heard(make_voter(2, 12), now_ + seconds(4));
        absence_.record_heard(make_voter(3, 99), now_ + seconds(4));
        absence_.record_heard(make_voter(4, 14), now_);
        CPPUNIT_ASSERT(absence_.update(now_ + seconds(5)));
        auto const now = now_ + seconds(5);
        CPPUNIT_ASSERT_EQUAL(std::string("true"), field("missing", now));
        CPPUNIT_ASSERT_EQUAL(std::string("5"), field("voters", now));
        CPPUNIT_ASSERT_EQUAL(std::string("1 2"), field("answering", now));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), field("other_disk", now));
        CPPUNIT_ASSERT_EQUAL(std::string("4 5"), field("silent", now));
    }

    void setUp() override { absence_.record_leader(now_); }

private:
    std::string field(std::string const& name, instant now) const
    {
        group_membership const members{.group = group_id(1),
                                       .voters = {make_voter(1, 11), make_voter(2, 12),
                                                  make_voter(3, 13), make_voter(4, 14),
                                                  make_voter(5, 15)},
                                       .pending = {}};
        for (auto const& it : absence_.fields(members, make_voter(1, 11), now))
            if (it.name == name)
                return it.value;
        return "no field " + name;
    }

    leader_absence absence_;
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_absence_test);

} // namespace

} // namespace mulberryrudder::control
