#include "known_failures.hpp"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace
{

using mulberryrudder::testing::known_failures;

/// Names the file that lists the tests that are known to fail. Without it none is.
constexpr char const* list_variable = "MULBERRYRUDDER_KNOWN_RED";

/// Finds the test whose name is given on the command line, or all of them.
CppUnit::Test* chosen_test(CppUnit::Test* all, int argc, char** argv)
{
    return argc > 1 ? all->findTest(argv[1]) : all;
}

known_failures listed_failures(char const* program)
{
    auto const* const path = std::getenv(list_variable);
    if (path == nullptr)
        return {};
    std::ifstream list(path);
    if (!list)
        throw std::runtime_error(std::string("cannot read ") + path);
    return {list, std::filesystem::path(program).filename().string()};
}

/// Returns whether exactly the listed tests failed, and prints each of them.
bool only_known_failures(CppUnit::TestResultCollector const& collector, known_failures const& known)
{
    std::vector<std::string> failed;
    bool out = true;
    for (auto const* const it : collector.failures())
    {
        failed.push_back(it->failedTestName());
        if (auto const* const name = known.find(failed.back()))
            std::cerr << "known to fail: " << *name << "\n";
        else
            out = false;
    }
    for (auto const& it : known.missing_from(failed))
    {
        std::cerr << "listed as known to fail, but passes: " << it << "\n";
        out = false;
    }
    return out;
}

} // namespace

/// Runs the tests of this program, or the one named as its argument; prints each
/// test's name, and for failures what was expected and what was found. Tests that are
/// listed as known to fail must fail.
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    auto* const all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    known_failures known;
    try
    {
        if (argc == 1)
            known = listed_failures(argv[0]);
        runner.addTest(chosen_test(all, argc, argv));
        runner.run(controller);
    }
    catch (std::invalid_argument const& e)
    {
        std::cerr << "no such test: " << e.what() << "\n";
        return 2;
    }
    catch (std::runtime_error const& e)
    {
        std::cerr << e.what() << "\n";
        return 2;
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.runTests() != 0 && only_known_failures(collector, known) ? 0 : 1;
}
