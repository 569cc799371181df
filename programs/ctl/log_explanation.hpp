#ifndef MULBERRYRUDDER_PROGRAMS_CTL_LOG_EXPLANATION_HPP
#define MULBERRYRUDDER_PROGRAMS_CTL_LOG_EXPLANATION_HPP

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <vector>

namespace mulberryrudder::ctl
{

/// One line that tells of a request, or of what an instance believed when it decided.
struct explained_line
{
    std::string instance; ///< What stands before the JSON object, without a leading time.
    std::string time;
    std::string name; ///< The event's name.
    std::string text; ///< Its other fields, `name=value`.
    bool belief = false;

    friend bool operator==(explained_line const&, explained_line const&) = default;
};

/// Picks a request's decisions out of the logs of any number of instances, each with what
/// the instance last learned of the configuration and of the targets concerned.
///
/// Lines are read once, in the order of each instance's log. A line may have a prefix that
/// names its instance; lines without a JSON object are passed over.
///
/// Thread safety: one owner.
class log_explanation
{
public:
    /// `request` is the caller's id of the request or the instance's own number of it.
    explicit log_explanation(std::string request) : request_(std::move(request)) {}

    void take(std::string const& line);

    /// Returns what was found, by time; beliefs stand before the decision that used them.
    std::vector<explained_line> lines() const;

private:
    /// The newest events of one instance about what it believes, by event and subject.
    using belief_table = std::map<std::string, explained_line>;

    bool concerns_request(boost::json::object const& it) const;
    void tell_beliefs(std::string const& instance, boost::json::object const& decision);

    std::string request_;
    std::map<std::string, belief_table> known_; ///< By instance.
    std::vector<explained_line> found_;
};

} // namespace mulberryrudder::ctl

#endif
