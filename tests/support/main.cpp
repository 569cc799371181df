#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <stdexcept>

namespace
{

/// Finds the test whose name is given on the command line, or all of them.
CppUnit::Test* chosen_test(CppUnit::Test* all, int argc, char** argv)
{
    return argc > 1 ? all->findTest(argv[1]) : all;
}

} // namespace

/// Runs the tests of this program, or the one named as its argument; prints each
/// test's name, and for failures what was expected and what was found.
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    auto* const all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    try
    {
        runner.addTest(chosen_test(all, argc, argv));
        runner.run(controller);
    }
    catch (std::invalid_argument const& e)
    {
        std::cerr << "no such test: " << e.what() << "\n";
        return 2;
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() && collector.runTests() != 0 ? 0 : 1;
}
