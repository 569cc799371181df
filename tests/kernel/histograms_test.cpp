#include <mulberryrudder/kernel/counters.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::kernel
{

namespace
{

histogram_kind const sample("test.sample", "Times of the test.");

class histograms_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(histograms_test);
    CPPUNIT_TEST(a_time_is_counted_in_its_bucket);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_time_is_counted_in_its_bucket()
    {
        counter_set it;
        it.observe(sample, milliseconds(15));
        it.observe(sample, milliseconds(150));
        auto const text = counters_text(it);
        expect(text, "mulberryrudder_test_sample_seconds_count 2");
        expect(text, "mulberryrudder_test_sample_seconds_bucket{le=\"0.02\"} 1");
        expect(text, "mulberryrudder_test_sample_seconds_bucket{le=\"0.2\"} 2");
    }

private:
    static void expect(std::string const& text, std::string const& line)
    {
        CPPUNIT_ASSERT_MESSAGE(line + " in\n" + text, text.find(line) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(histograms_test);

} // namespace

} // namespace mulberryrudder::kernel
