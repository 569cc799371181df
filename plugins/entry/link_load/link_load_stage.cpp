#include <mulberryrudder/entry/link_budget.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>
#include <unordered_map>

namespace mulberryrudder::entry
{

namespace
{

constexpr double bytes_per_megabit = 1e6 / 8;

/// Capacity of the link in each direction; in the settings a number of megabits a second, which
/// may have a fraction.
struct link_capacity
{
    bytes_per_second rate;
};

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                link_capacity& out)
{
    boost::system::error_code ec;
    auto const megabits = from.to_number<double>(ec);
    if (ec || megabits < static_cast<double>(within.least) ||
        megabits > static_cast<double>(within.most))
        return at.refuse("a number of megabits from " + std::to_string(within.least) + " to " +
                         std::to_string(within.most));
    out.rate = bytes_per_second(static_cast<std::int64_t>(megabits * bytes_per_megabit));
}

struct link_load_settings
{
    link_capacity capacity;
    per_mille usable{900};
    milliseconds retry_after{400};
    milliseconds retry_spread{600};
};

kernel::section<link_load_settings> const link_load_section{
    "link_load",
    {
        kernel::field("megabits", &link_load_settings::capacity, {0, 10'000'000},
                      "Megabits a second that this instance's network link carries in each "
                      "direction; 0 if it is not known, and then nothing is refused."),
        kernel::field("usable", &link_load_settings::usable, {1, 1000},
                      "Thousandths of the capacity that callers' requests and their replies may "
                      "take; the rest is for messages of control and for what is not counted."),
        kernel::field("return_after", &link_load_settings::retry_after, {0, 60'000},
                      "Minimum retry delay in milliseconds for callers that are refused since the "
                      "link is full."),
        kernel::field("return_spread", &link_load_settings::retry_spread, {0, 60'000},
                      "Range in milliseconds of the random addition to that delay."),
    }};

refusal_kind const link_full({.name = "link_full",
                              .counter_name = "refused.link_full",
                              .status = 503,
                              .meaning = "The network link of this instance has no room for the "
                                         "request and its reply."});

/// Bytes of the packets, the first line and the usual fields of a request or a reply.
constexpr byte_count message_overhead{600};
/// Bytes of a refusal with its packets.
constexpr byte_count refusal_size{300};
/// Size that a reply is assumed to have before the first one of its route.
constexpr byte_count assumed_reply{2000};
/// Each reply moves its route's average by one part in this many.
constexpr std::int64_t average_divisor = 16;
/// Time over which the bytes that are not decided here are averaged.
constexpr milliseconds window{250};
/// Fraction of the usable capacity that stays for replies, however much callers send.
constexpr std::int64_t reserved_divisor = 16;
/// Number of ranks that are told apart when the link has little room.
constexpr std::int64_t ranks = 4;

byte_count size_of(std::vector<header_field> const& fields, std::string const& body)
{
    auto n = message_overhead.count() + static_cast<std::int64_t>(body.size());
    for (auto const& it : fields)
        n += static_cast<std::int64_t>(it.name.size() + it.value.size());
    return byte_count(n);
}

/// One direction of the link: the requests and replies that are admitted get what the bytes
/// that arrive or leave anyway do not take.
class direction
{
public:
    /// Adds bytes that are not decided here.
    void add_unavoidable(byte_count size) { unavoidable_ += size; }

    /// Ends a window of the given length.
    void end_window(bytes_per_second usable, span length)
    {
        auto const newest =
            std::exchange(unavoidable_, byte_count()).count() * std::micro::den / length.count();
        average_ = bytes_per_second((average_.count() + newest) / 2);
        auto const least = usable.count() / reserved_divisor;
        rate_ = bytes_per_second(std::max(usable.count() - average_.count(), least));
    }

    /// Returns whether a request of this rank may add bytes now. The less urgent it is, the more
    /// room must be left for others.
    bool has_room(std::int64_t rank, instant now)
    {
        auto const burst = rate_.count() * link_budget::burst.count() / 1000;
        return budget_.has_room(byte_count(burst * rank / (2 * ranks)), rate_, now);
    }

    void charge(byte_count size, instant now) { budget_.charge(size, rate_, now); }

private:
    link_budget budget_;
    byte_count unavoidable_;
    bytes_per_second average_;
    bytes_per_second rate_;
};

/// Refuses requests whose replies this instance's network link has no room for. A full link
/// delays everything on it by seconds: replies, so that they come too late, and the messages of
/// control.
///
/// Handles more requests, or larger ones, than the link carries: callers that all send more at
/// once, or that return at once after a refusal.
///
/// Thread safety: as stage.
class link_load_stage final : public stage
{
public:
    explicit link_load_stage(stage_parts const& parts)
        : config_(parts.config.get(link_load_section))
    {
    }

    step admit(request& req, context& ctx) override
    {
        if (config_.capacity.rate == bytes_per_second() || req.planned == nullptr)
            return proceed{};
        auto const rank = rank_of(req);
        if (inbound_.has_room(rank, ctx.now) && outbound_.has_room(rank, ctx.now))
            return proceed{};
        std::uniform_int_distribution<std::int64_t> spread(0, config_.retry_spread.count());
        return refuse(link_full, config_.retry_after + milliseconds(spread(ctx.random)));
    }

    void attempt_started(request const& req, attempt const&, context& ctx) override
    {
        auto const reply = expected_reply(req.route);
        inbound_.charge(reply, ctx.now);
        outbound_.charge(size_of(req.content->fields, req.content->body) + reply, ctx.now);
    }

    void finished(request const& req, outcome const& result, context&) override
    {
        inbound_.add_unavoidable(size_of(req.content->fields, req.content->body));
        auto const* const reply = std::get_if<answered>(&result);
        if (reply == nullptr)
            return outbound_.add_unavoidable(refusal_size);
        auto const size = size_of(reply->content->fields, reply->content->body).count();
        auto& average = replies_.try_emplace(req.route, size).first->second;
        average = byte_count(average.count() + (size - average.count()) / average_divisor);
    }

    void tick(context& ctx) override
    {
        if (ctx.now < window_ends_)
            return;
        auto const length = ctx.now - window_ends_ + window;
        window_ends_ = ctx.now + window;
        bytes_per_second const usable(config_.capacity.rate.count() * config_.usable.count() /
                                      1000);
        inbound_.end_window(usable, length);
        outbound_.end_window(usable, length);
    }

private:
    static std::int64_t rank_of(request const& req)
    {
        auto const rank =
            req.payer != nullptr && req.payer->rank ? *req.payer->rank : req.planned->rank;
        return std::clamp<std::int64_t>(rank.count(), 0, ranks - 1);
    }

    byte_count expected_reply(route_id const& route) const
    {
        auto const known = replies_.find(route);
        return known == replies_.end() ? assumed_reply : known->second;
    }

    link_load_settings const& config_;
    direction inbound_;
    direction outbound_;
    std::unordered_map<route_id, byte_count> replies_; ///< Average sizes.
    instant window_ends_;
};

stage_registrar<link_load_stage> const registrar{"link_load", stage_order::link_load};

} // namespace

} // namespace mulberryrudder::entry
