#include "platform/announcement_reader.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::platform
{

namespace
{

std::string const sample =
    R"({"Address":"10.128.0.9:8080","born":1790000000123,)"
    R"("Info":{"Service":"huvo11a","Version":"v1","Zone":"cairo-a","Capacity":6},)"
    R"("Status":{"State":"ready","Sequence":4,"WarmupLeft":"2.5s"}})";

class announcement_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(announcement_reader_test);
    CPPUNIT_TEST(an_announcement_is_read_whole);
    CPPUNIT_TEST(a_target_that_drains_leaves);
    CPPUNIT_TEST(bytes_that_name_no_target_are_refused);
    CPPUNIT_TEST(an_absurd_number_of_slots_is_refused);
    CPPUNIT_TEST(a_leave_tells_its_start_if_it_can);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_announcement_is_read_whole()
    {
        failures failed;
        auto const read = read_announcement("i-7f3a91c2", sample, failed);
        CPPUNIT_ASSERT(read && failed.empty());
        auto const& it = read->what;
        CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), it.id.value());
        CPPUNIT_ASSERT(it.start == start_id(1790000000123));
        CPPUNIT_ASSERT(it.sequence == sequence_id(4));
        CPPUNIT_ASSERT(it.where == (endpoint{"10.128.0.9", 8080}));
        CPPUNIT_ASSERT(it.domain == domain_id("cairo-a"));
        CPPUNIT_ASSERT(it.capacity == slots(6));
        CPPUNIT_ASSERT(it.cold_for == milliseconds(2500));
        CPPUNIT_ASSERT(it.standing == messages::target_standing::serving);
    }

    void a_target_that_drains_leaves()
    {
        failures failed;
        auto const read = read_announcement("i", with("\"ready\"", "\"draining\""), failed);
        CPPUNIT_ASSERT(read->what.standing == messages::target_standing::leaving);
    }

    void bytes_that_name_no_target_are_refused()
    {
        std::string const bad[] = {"",
                                   "\xff\xfe",
                                   "[]",
                                   "{}",
                                   with("10.128.0.9:8080", "elsewhere"),
                                   with("\"ready\"", "\"resting\""),
                                   with("\"ready\"", "7"),
                                   with("\"Sequence\":4", "\"Sequence\":\"x\""),
                                   with("\"Capacity\":6", "\"Capacity\":0"),
                                   with("\"Service\":\"huvo11a\"", "\"Service\":\"\""),
                                   with("\"Sequence\":4,", "")};
        for (auto const& it : bad)
        {
            failures failed;
            CPPUNIT_ASSERT_MESSAGE(it, !read_announcement("i", it, failed));
            CPPUNIT_ASSERT_MESSAGE(it, !failed.empty());
        }
    }

    // Guards against an overflow: slots near 2^63 of two targets were added, at entries and at
    // control.
    void an_absurd_number_of_slots_is_refused()
    {
        for (auto const* const text :
             {"9223372036854775807", "4611686018427387904", "1000001", "-1", "1.5", "1e300"})
        {
            failures failed;
            auto const body = with("\"Capacity\":6", "\"Capacity\":" + std::string(text));
            CPPUNIT_ASSERT_MESSAGE(text, !read_announcement("i", body, failed));
            CPPUNIT_ASSERT_EQUAL(std::string("/Info/Capacity"), failed.front().place);
        }
        failures failed;
        auto const most = with("\"Capacity\":6", "\"Capacity\":1000000");
        CPPUNIT_ASSERT(read_announcement("i", most, failed)->what.capacity == slots(1'000'000));
    }

    void a_leave_tells_its_start_if_it_can()
    {
        CPPUNIT_ASSERT(read_leave("i", R"({"born":12})").start == start_id(12));
        CPPUNIT_ASSERT(!read_leave("i", "").start);
        CPPUNIT_ASSERT(!read_leave("i", "\xff").start);
    }

private:
    static std::string with(std::string const& what, std::string const& to)
    {
        auto out = sample;
        out.replace(out.find(what), what.size(), to);
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announcement_reader_test);

} // namespace

} // namespace mulberryrudder::platform
