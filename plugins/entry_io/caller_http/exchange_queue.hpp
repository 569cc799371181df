#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_EXCHANGE_QUEUE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_EXCHANGE_QUEUE_HPP

#include "answer_codec.hpp"

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/byte_budget.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace mulberryrudder::caller_http
{

/// What a connection may hold of requests whose answers are not written.
struct exchange_limits
{
    requests most_pipelined;         ///< Requests of the connection.
    byte_count most_waiting_answers; ///< Bytes of answers that wait for an earlier one.
};

/// What all connections together may hold.
struct exchange_budgets
{
    kernel::byte_budget& requests;
    kernel::byte_budget& answers; ///< That wait for an earlier one.
};

/// What the decisions hold of a request, beside its bytes.
inline constexpr byte_count request_overhead{2048};

/// A request that was read.
struct read_request
{
    request_id id;
    byte_count size{0};     ///< Of its header and body.
    bool is_safe = false;   ///< By its method: it may run beside other safe ones.
    bool head_only = false; ///< Its answer has no body.
};

/// The requests of one connection whose answers are not written, in the order in which they were
/// sent, which is also the order of the answers.
///
/// Thread safety: the budget's duty.
class exchange_queue
{
public:
    /// Precondition: the budgets outlive the queue.
    exchange_queue(exchange_limits limits, exchange_budgets budgets)
        : limits_(limits), budgets_(budgets)
    {
    }

    bool is_empty() const { return exchanges_.empty(); }
    /// Returns whether exactly one answer is not written.
    bool is_last() const { return exchanges_.size() == 1; }

    /// Returns whether a safe request may be taken behind those that are here. Answers that are
    /// awaited count as large as recent ones were.
    bool has_room() const;

    /// Adds a request at the end.
    void add(read_request const& what);

    /// Notes that the owner answers a request later.
    void expect(request_id id);

    /// Returns a request whose answer is expected; nothing if there is none.
    std::optional<request_id> first_expected() const;

    /// Keeps the answer to a request until its turn; ignored if the request is not here.
    void answer(request_id id, http_response&& what);

    /// Returns whether the first request is answered, so that its answer can be written.
    bool is_next_ready() const;

    /// Returns the first answer, framed for its connection. It stays valid until pop().
    /// Precondition: is_next_ready().
    http_response& next(bool keep_open);

    /// Removes the first request. Precondition: it was answered.
    void pop() { exchanges_.pop_front(); }

    /// Removes the first request without an answer and all behind it, which can't be answered any
    /// more; returns those whose answers were expected, the newest first. In that order no
    /// departure lets a request run that waits for an earlier one.
    std::vector<request_id> drop_unanswered();

private:
    struct exchange
    {
        exchange(read_request const& what, exchange_budgets budgets)
            : request(what), held(budgets.requests), waiting(budgets.answers)
        {
        }

        read_request request;
        kernel::byte_charge held;    ///< For the request, until it is answered.
        kernel::byte_charge waiting; ///< For the answer, until its turn.
        std::optional<http_response> answer;
        bool is_expected = false;
    };

    exchange* find(request_id id);

    exchange_limits limits_;
    exchange_budgets budgets_;
    std::deque<exchange> exchanges_; ///< The first one's answer may be referred to by a write.
    byte_count waiting_{0};          ///< Bytes of answers that wait for an earlier one.
    byte_count expected_size_{0};    ///< Of an answer: the largest one, which is forgotten slowly.
};

} // namespace mulberryrudder::caller_http

#endif
