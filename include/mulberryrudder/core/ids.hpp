#ifndef MULBERRYRUDDER_CORE_IDS_HPP
#define MULBERRYRUDDER_CORE_IDS_HPP

#include <mulberryrudder/core/strong.hpp>

#include <cstdint>
#include <string>

namespace mulberryrudder
{

/// Names a customer: one department with its own keys and rate.
using customer_id = strong_id<struct customer_tag, std::string>;
/// Names a route: the first path segment of a caller's request.
using route_id = strong_id<struct route_tag, std::string>;
/// Names a region.
using region_id = strong_id<struct region_tag, std::string>;
/// Names a failure domain, unique over all regions.
using domain_id = strong_id<struct domain_tag, std::string>;
/// Names a target version.
using version_id = strong_id<struct version_tag, std::string>;
/// Names a target, unique over all failure domains.
using target_id = strong_id<struct target_tag, std::string>;

/// Numbers an instance of the system, entry or control; unique in the fleet.
using instance_id = strong_id<struct instance_tag, std::uint32_t>;
/// Numbers one start of an instance; it differs after each restart.
using boot_id = strong_id<struct boot_tag, std::uint64_t>;
/// Numbers a term of the control group's leadership.
using term_id = strong_id<struct term_tag, std::uint64_t>;
/// Numbers a place in the control group's replicated log; 0 is before the first.
using log_index = strong_id<struct log_index_tag, std::uint64_t>;
/// Numbers an accepted configuration; it only grows.
using generation_id = strong_id<struct generation_tag, std::uint64_t>;
/// Numbers a release note; the operator chooses it.
using note_number = strong_id<struct note_number_tag, std::uint64_t>;
/// Numbers a caller's request; unique in the fleet while the instance runs.
using request_id = strong_id<struct request_tag, std::uint64_t>;
/// Numbers a caller's connection; unique in its instance.
using connection_id = strong_id<struct connection_tag, std::uint64_t>;
/// Numbers one sending of a request to a target by one entry instance.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;
/// Names a service: targets of one kind, of which any can take its requests.
using service_id = strong_id<struct service_tag, std::string>;
/// Names an object that requests are about, as their callers tell it.
using object_id = strong_id<struct object_tag, std::string>;
/// Numbers a traffic plan; operators choose it, and it grows by uneven steps.
using plan_number = strong_id<struct plan_number_tag, std::uint64_t>;
/// Numbers one start of a target; a later start has a greater number.
using start_id = strong_id<struct start_tag, std::uint64_t>;
/// Numbers a message that expects an answer, per sender.
using sequence_id = strong_id<struct sequence_tag, std::uint64_t>;

} // namespace mulberryrudder

#endif
