#ifndef MULBERRYRUDDER_ENTRY_QUEUE_VIEW_HPP
#define MULBERRYRUDDER_ENTRY_QUEUE_VIEW_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/entry/request.hpp>

#include <cstddef>
#include <optional>

namespace mulberryrudder::entry
{

/// Shows the requests that wait for a slot; the fair queue provides it.
///
/// Thread safety: the decision core's thread.
class queue_view
{
public:
    virtual ~queue_view() = default;

    /// Returns how long the request would wait for a slot if it came now.
    virtual span expected_wait(request const& what, instant now) const = 0;

    /// Returns how long a request of the version runs on a target, on average.
    virtual span expected_service(version_id const& version) const = 0;

    /// Removes and returns the request that is first in turn among those for which no
    /// target here has slots, so that it can be sent elsewhere. The caller goes on with
    /// it by pipeline::resume_from().
    virtual std::optional<request_id> take_stranded() = 0;

    /// Returns how many requests of the version wait.
    virtual std::size_t waiting(version_id const& version) const = 0;
};

} // namespace mulberryrudder::entry

#endif
