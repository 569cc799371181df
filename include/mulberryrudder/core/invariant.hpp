#ifndef MULBERRYRUDDER_CORE_INVARIANT_HPP
#define MULBERRYRUDDER_CORE_INVARIANT_HPP

#include <stdexcept>
#include <string>

namespace mulberryrudder
{

/// Reports that the program's own state is impossible. A process ends on it, since
/// going on could break a promise; a randomised test fails on it.
class invariant_violated : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// Throws invariant_violated unless `holds`. It is active in every build.
inline void check_invariant(bool holds, char const* what)
{
    if (!holds)
        throw invariant_violated(std::string("invariant violated: ") + what);
}

} // namespace mulberryrudder

#endif
