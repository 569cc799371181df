#ifndef MULBERRYRUDDER_CORE_ERROR_HPP
#define MULBERRYRUDDER_CORE_ERROR_HPP

#include <mulberryrudder/core/verdict.hpp>

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace mulberryrudder
{

/// Describes a failure: what was wrong, where, and whether a request may have run.
struct failure
{
    std::string place;    ///< File and line, JSON pointer or peer; empty if there is none.
    std::string expected; ///< What would have been right.
    verdict run = verdict::not_run;
};

/// Collects the failures of one input, so that all of them are reported at once.
using failures = std::vector<failure>;

/// A value or a Boost.LEAF error that carries a `failure` or `failures`.
template <class T>
using result = boost::leaf::result<T>;

} // namespace mulberryrudder

#endif
