#ifndef MULBERRYRUDDER_MESSAGES_QUARANTINE_HPP
#define MULBERRYRUDDER_MESSAGES_QUARANTINE_HPP

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <set>

namespace mulberryrudder::messages
{

/// Tells the other entries at once which attempts of one request a target died of.
struct suspect_notice
{
    digest fingerprint;
    std::set<attempt_id> deaths; ///< Each is the attempt that ran when a target died.
};

/// Tells the other entries that a suspect ran to its end and is none any more.
struct suspect_cleared
{
    digest fingerprint;
    std::set<attempt_id> deaths; ///< That it is cleared of; later ones still count.
};

/// Asks the fingerprint's arbiter for the right to run a suspect alone.
struct permit_request
{
    digest fingerprint;
    request_id request;
    std::set<attempt_id> deaths; ///< That the asker knows of.
    microseconds run_within{};   ///< Until the request's deadline.
};

/// Gives the right, or not: another runs, or the arbiter does not know yet.
struct permit_answer
{
    digest fingerprint;
    request_id request;
    bool granted = false;
    std::set<attempt_id> deaths; ///< That the arbiter knows of.
};

/// Gives a permit back.
struct permit_end
{
    digest fingerprint;
    request_id request;
};

} // namespace mulberryrudder::messages

#endif
