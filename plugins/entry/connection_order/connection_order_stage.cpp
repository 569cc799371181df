#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace mulberryrudder::entry
{

namespace
{

kernel::counter_kind const held_back(
    "requests.held_back",
    "Requests that waited for earlier ones of their connection, since one of them may run "
    "once only.");

/// Keeps requests of one connection in order where that matters: one that may run once only is
/// passed on when all before it have ended, and holds back those behind it. All others run side by
/// side.
///
/// Thread safety: as stage.
class connection_order_stage final : public stage
{
public:
    explicit connection_order_stage(stage_parts const&) {}

    step admit(request& req, context& ctx) override
    {
        if (!req.connection)
            return proceed{};
        auto& line = unfinished_[*req.connection];
        line.push_back({.id = req.id, .repeatable = req.repeatable});
        if (may_run(line, line.end() - 1))
            return proceed{};
        line.back().waiting = true;
        ctx.counters.add(held_back);
        return wait{};
    }

    void finished(request const& req, outcome const&, context& ctx) override
    {
        auto const found = req.connection ? unfinished_.find(*req.connection) : unfinished_.end();
        if (found == unfinished_.end())
            return;
        auto& line = found->second;
        std::erase_if(line, [&](unfinished const& it) { return it.id == req.id; });
        auto const ready = take_ready(line);
        if (line.empty())
            unfinished_.erase(found);
        // A request that is resumed may end at once, and change the line.
        for (auto const id : ready)
            ctx.flow.resume(id);
    }

private:
    struct unfinished
    {
        request_id id;
        bool repeatable = false;
        bool waiting = false;
    };
    using line_of_requests = std::vector<unfinished>;

    static bool may_run(line_of_requests const& line, line_of_requests::const_iterator it)
    {
        return it == line.begin() ||
               std::all_of(line.begin(), it + 1,
                           [](unfinished const& each) { return each.repeatable; });
    }

    /// Returns the waiting requests that may run now; they do not wait any more.
    static std::vector<request_id> take_ready(line_of_requests& line)
    {
        std::vector<request_id> out;
        for (auto it = line.begin(); it != line.end() && may_run(line, it); ++it)
            if (std::exchange(it->waiting, false))
                out.push_back(it->id);
        return out;
    }

    std::unordered_map<connection_id, line_of_requests> unfinished_;
};

stage_registrar<connection_order_stage> const entered{"connection_order",
                                                      stage_order::connection_order};

} // namespace

} // namespace mulberryrudder::entry
