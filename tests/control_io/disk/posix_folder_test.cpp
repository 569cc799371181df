#include <plugins/control_io/disk/disk_store.hpp>

#include <boost/filesystem/operations.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace mulberryrudder::disk::testing
{

namespace
{

namespace fs = boost::filesystem;

/// Runs the disk store on a real folder.
class posix_folder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(posix_folder_test);
    CPPUNIT_TEST(state_is_found_again_after_a_restart);
    CPPUNIT_TEST(a_copy_of_the_folder_is_recovered_as_copied);
    CPPUNIT_TEST(a_folder_serves_one_process_at_a_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        root_ = fs::temp_directory_path() / fs::unique_path("disk-test-%%%%%%%%");
        fs::create_directory(root_);
    }
    void tearDown() override { fs::remove_all(root_); }

    void state_is_found_again_after_a_restart()
    {
        CPPUNIT_ASSERT(open("a").blank);
        auto const found = open("a");
        CPPUNIT_ASSERT(!found.blank);
        CPPUNIT_ASSERT(!found.copied);
        CPPUNIT_ASSERT(term_id(7) == found.state.term);
    }

    void a_copy_of_the_folder_is_recovered_as_copied()
    {
        open("a");
        fs::create_directory(root_ / "b");
        for (auto const& it : fs::directory_iterator(root_ / "a"))
            fs::copy_file(it.path(), root_ / "b" / it.path().filename());
        CPPUNIT_ASSERT(open("b").copied);
    }

    void a_folder_serves_one_process_at_a_time()
    {
        auto const path = (root_ / "a").string();
        auto const outcome = boost::leaf::try_handle_all(
            [&]() -> result<std::string>
            {
                BOOST_LEAF_AUTO(first, open_folder(path));
                BOOST_LEAF_AUTO(second, open_folder(path));
                return std::string("opened twice");
            },
            [](failure const& it) { return it.expected; }, [] { return std::string("other"); });
        CPPUNIT_ASSERT_EQUAL(std::string("a data folder that no other process uses"), outcome);
    }

private:
    /// Recovers a folder and then writes a state with term 7 to it.
    control::disk_recovered open(std::string const& name)
    {
        auto const path = (root_ / name).string();
        return boost::leaf::try_handle_all(
            [&]() -> result<control::disk_recovered>
            {
                BOOST_LEAF_AUTO(files, open_folder(path));
                disk_store store(*files);
                BOOST_LEAF_AUTO(found, store.recover());
                BOOST_LEAF_CHECK(store.apply(
                    control::persist{.state = control::hard_state{.term = term_id(7)}}));
                BOOST_LEAF_CHECK(store.sync());
                return found.recovered;
            },
            [](failure const& it) -> control::disk_recovered
            { CPPUNIT_FAIL(it.place + ": expected " + it.expected); },
            []() -> control::disk_recovered { CPPUNIT_FAIL("another error"); });
    }

    fs::path root_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(posix_folder_test);

} // namespace

} // namespace mulberryrudder::disk::testing
