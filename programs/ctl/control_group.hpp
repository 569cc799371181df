#ifndef MULBERRYRUDDER_PROGRAMS_CTL_CONTROL_GROUP_HPP
#define MULBERRYRUDDER_PROGRAMS_CTL_CONTROL_GROUP_HPP

#include "client.hpp"

#include <boost/json/object.hpp>

#include <vector>

namespace mulberryrudder::ctl
{

/// An answer in JSON, and the exit code that it means.
struct group_answer
{
    int exit_code = 0;
    boost::json::object body; ///< Empty if nobody answered.
};

/// Reaches the control instances by their operators' addresses.
///
/// Thread safety: one owner.
class control_group
{
public:
    /// Precondition: there is at least one address.
    control_group(std::vector<endpoint> addresses, instant deadline);

    /// Sends a request that only the leader carries out. It is sent again, after a
    /// pause and to the leader that an answer names, until the outcome is known or
    /// the deadline has passed. Only for requests that may be sent twice.
    group_answer change(http_question const& what);

    /// Sends a question that each instance answers; takes the answer of one that may
    /// act, or else the one of the highest generation.
    group_answer read(http_question const& what);

    std::vector<endpoint> const& addresses() const { return addresses_; }
    instant deadline() const { return deadline_; }

private:
    std::optional<group_answer> ask_one(endpoint const& where, http_question const& what) const;
    void follow(group_answer const& answer, std::size_t& next) const;

    std::vector<endpoint> addresses_;
    instant deadline_;
};

/// Returns the exit code for an HTTP status.
int exit_code_of(unsigned status);

/// Returns a member's whole number, or `otherwise`.
std::uint64_t number_in(boost::json::object const& from, std::string_view name,
                        std::uint64_t otherwise = 0);

/// Returns a member's text, empty if there is none.
std::string text_in(boost::json::object const& from, std::string_view name);

} // namespace mulberryrudder::ctl

#endif
