#include "programs/ctl/log_explanation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::ctl
{

namespace
{

std::string line(std::string const& instance, int second, std::string const& fields)
{
    return "  1.0 " + instance + " {\"time\":\"2026-12-04T10:00:0" + std::to_string(second) +
           ".000Z\",\"severity\":\"info\",\"event\":1," + fields + "}";
}

class log_explanation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_explanation_test);
    CPPUNIT_TEST(a_decision_comes_behind_what_was_believed);
    CPPUNIT_TEST(only_the_newest_belief_before_the_decision_counts);
    CPPUNIT_TEST(other_instances_beliefs_say_nothing);
    CPPUNIT_TEST(a_request_is_found_by_its_number_too);
    CPPUNIT_TEST(lines_of_several_instances_are_told_by_time);
    CPPUNIT_TEST(what_is_no_event_is_passed_over);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_decision_comes_behind_what_was_believed()
    {
        it_.take(line("e1", 1, R"("name":"steering.learned","generation":"3")"));
        it_.take(line("e1", 2, R"("name":"targets.learned","target":"t1","standing":"serving")"));
        it_.take(line("e1", 3, R"("name":"targets.learned","target":"t2","standing":"serving")"));
        it_.take(line("e1", 4, R"("name":"request.ended","request":"ab","attempts":"t1+0")"));
        expect({"steering.learned", "targets.learned", "request.ended"});
        CPPUNIT_ASSERT_EQUAL(std::string("target=t1 standing=serving"), it_.lines().at(1).text);
        CPPUNIT_ASSERT(it_.lines().at(1).belief);
        CPPUNIT_ASSERT(!it_.lines().at(2).belief);
    }

    void only_the_newest_belief_before_the_decision_counts()
    {
        it_.take(line("e1", 1, R"("name":"steering.learned","generation":"3")"));
        it_.take(line("e1", 2, R"("name":"steering.learned","generation":"4")"));
        it_.take(line("e1", 3, R"("name":"request.ended","request":"ab")"));
        it_.take(line("e1", 4, R"("name":"steering.learned","generation":"5")"));
        expect({"steering.learned", "request.ended"});
        CPPUNIT_ASSERT_EQUAL(std::string("generation=4"), it_.lines().front().text);
    }

    void other_instances_beliefs_say_nothing()
    {
        it_.take(line("e2", 1, R"("name":"steering.learned","generation":"3")"));
        it_.take(line("e1", 2, R"("name":"request.ended","request":"ab")"));
        expect({"request.ended"});
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), it_.lines().front().instance);
    }

    void a_request_is_found_by_its_number_too()
    {
        it_.take(line("e1", 1, R"("name":"request.ended","request":"cd","id":"ab")"));
        expect({"request.ended"});
    }

    void lines_of_several_instances_are_told_by_time()
    {
        it_.take(line("e1", 3, R"("name":"request.ended","request":"ab")"));
        it_.take(line("e2", 1, R"("name":"request.attempt_failed","request":"ab","target":"t1")"));
        expect({"request.attempt_failed", "request.ended"});
    }

    void what_is_no_event_is_passed_over()
    {
        it_.take("");
        it_.take("no object");
        it_.take("{broken");
        it_.take("{\"request\": 7}");
        it_.take("[1]");
        expect({});
    }

private:
    void expect(std::vector<std::string> const& names)
    {
        std::vector<std::string> told;
        for (auto const& each : it_.lines())
            told.push_back(each.name);
        CPPUNIT_ASSERT(told == names);
    }

    log_explanation it_{"ab"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_explanation_test);

} // namespace

} // namespace mulberryrudder::ctl
