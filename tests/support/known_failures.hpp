#ifndef MULBERRYRUDDER_TESTS_SUPPORT_KNOWN_FAILURES_HPP
#define MULBERRYRUDDER_TESTS_SUPPORT_KNOWN_FAILURES_HPP

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

namespace mulberryrudder::testing
{

/// The tests of one program that are listed as known to fail. A line of the list begins
/// with the program's name and the test's, `FIXTURE::CASE`; the rest of it is for readers.
///
/// Thread safety: one owner.
class known_failures
{
public:
    known_failures() = default;
    known_failures(std::istream& list, std::string const& program);

    /// Returns the listed name of a test that failed, or null if it is not listed. `name`
    /// may have any qualification in front.
    std::string const* find(std::string const& name) const;

    /// Returns the listed tests that are not among those that failed: the list has to
    /// name exactly the tests that fail.
    std::vector<std::string> missing_from(std::vector<std::string> const& failed) const;

private:
    std::set<std::string> listed_;
};

} // namespace mulberryrudder::testing

#endif
