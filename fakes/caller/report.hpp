#ifndef MULBERRYRUDDER_FAKES_CALLER_REPORT_HPP
#define MULBERRYRUDDER_FAKES_CALLER_REPORT_HPP

#include <mulberryrudder/core/time.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mulberryrudder::fakes
{

/// What one customer's callers on one route saw.
struct customer_report
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;    ///< Whole replies with an error status of the target.
    std::uint64_t wrong = 0;     ///< Replies to another request, or whose target saw the key.
    std::uint64_t cut = 0;       ///< Connections that ended or timed out without an answer.
    std::uint64_t unreached = 0; ///< No entry instance took a connection.
    std::map<std::string, std::uint64_t> refused;  ///< By reason.
    std::map<std::string, std::uint64_t> versions; ///< Answers by target version.
    std::vector<microseconds> latencies;           ///< Of the answered requests.
    std::set<std::string> said_not_run;            ///< Keys of requests refused as not run.
};

/// Returns the latency that `per_mille` of the answered requests do not exceed.
microseconds percentile(std::vector<microseconds> latencies, std::size_t per_mille);

boost::json::object to_json(customer_report const& it);

} // namespace mulberryrudder::fakes

#endif
