#ifndef MULBERRYRUDDER_PROGRAMS_CTL_CLIENT_HPP
#define MULBERRYRUDDER_PROGRAMS_CTL_CLIENT_HPP

#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/time.hpp>

#include <optional>
#include <string>

namespace mulberryrudder::ctl
{

/// A request to an instance.
struct http_question
{
    std::string method = "GET";
    std::string path;
    std::string body;
};

/// An instance's whole answer.
struct http_reply
{
    unsigned status = 0;
    std::string body;
};

/// Sends one request and waits for the whole answer until `deadline`; nothing if
/// there is none by then.
std::optional<http_reply> ask(endpoint const& where, http_question const& what, instant deadline);

} // namespace mulberryrudder::ctl

#endif
