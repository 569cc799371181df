#ifndef MULBERRYRUDDER_CONTROL_OPERATOR_ANSWERS_HPP
#define MULBERRYRUDDER_CONTROL_OPERATOR_ANSWERS_HPP

#include <mulberryrudder/core/ids.hpp>

#include <optional>

namespace mulberryrudder::control
{

/// Answers an operator's request that only the leader may carry out. Nothing was done.
struct not_leading
{
    std::optional<instance_id> leader; ///< As far as this replica knows.
};

/// Answers a request whose outcome this replica cannot tell: it lost its lead or
/// heard of no commit in time. The request may have been carried out; sending the
/// same one again is safe.
struct outcome_unknown
{
};

} // namespace mulberryrudder::control

#endif
