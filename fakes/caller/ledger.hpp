#ifndef MULBERRYRUDDER_FAKES_CALLER_LEDGER_HPP
#define MULBERRYRUDDER_FAKES_CALLER_LEDGER_HPP

#include "http_client.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace mulberryrudder::fakes
{

/// How often each idempotency key ran, over all targets that could be asked.
using ledger = std::map<std::string, std::uint64_t>;

/// Reads the targets' ledgers and adds them up; counts those that do not answer.
boost::asio::awaitable<void> read_ledgers(http_client& client, std::vector<endpoint> targets,
                                          ledger& out, std::uint64_t& unread);

} // namespace mulberryrudder::fakes

#endif
