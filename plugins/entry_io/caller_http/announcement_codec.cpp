#include "request_codec.hpp"

#include <mulberryrudder/kernel/settings.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <array>

namespace mulberryrudder::caller_http
{

namespace
{

using kernel::required_field;

constexpr kernel::limits slot_counts{1, 10'000};
constexpr kernel::limits connection_counts{1, 60'000};
constexpr kernel::limits busy_counts{0, 10'000};

/// An announcement as it is written in JSON.
struct announcement_text
{
    target_id target;
    endpoint where;
    domain_id domain;
    version_id version;
    std::vector<route_id> routes;
    slots capacity;
    connections most_connections{400};
    std::string state = "serving";
    slots busy{-1};
};

std::vector<kernel::field_spec<announcement_text>> const& fields()
{
    static std::vector<kernel::field_spec<announcement_text>> const it{
        required_field("target", &announcement_text::target, kernel::unbounded, "Its name."),
        required_field("address", &announcement_text::where, kernel::unbounded, "Where it serves."),
        required_field("domain", &announcement_text::domain, kernel::unbounded,
                       "Its failure domain."),
        required_field("version", &announcement_text::version, kernel::unbounded, "Its version."),
        required_field("routes", &announcement_text::routes, kernel::unbounded,
                       "The routes it serves."),
        required_field("slots", &announcement_text::capacity, slot_counts,
                       "Requests it runs at the same time."),
        field("connections", &announcement_text::most_connections, connection_counts,
              "Connections it takes."),
        field("state", &announcement_text::state, kernel::unbounded,
              "starting, serving or leaving."),
        field("busy", &announcement_text::busy, busy_counts, "Slots in use."),
    };
    return it;
}

bool read_state(std::string const& text, entry::target_state& out)
{
    struct state_row
    {
        std::string_view name;
        entry::target_state state;
    };
    static constexpr std::array rows{state_row{"starting", entry::target_state::starting},
                                     state_row{"serving", entry::target_state::serving},
                                     state_row{"leaving", entry::target_state::leaving}};
    for (auto const& it : rows)
    {
        if (text != it.name)
            continue;
        out = it.state;
        return true;
    }
    return false;
}

std::string joined(failures const& failed)
{
    std::string out;
    for (auto const& it : failed)
        out += (out.empty() ? "" : "; ") + it.place + ": expected " + it.expected;
    return out;
}

entry::announcement to_announcement(announcement_text&& from)
{
    entry::announcement out{.id = std::move(from.target),
                            .where = std::move(from.where),
                            .domain = std::move(from.domain),
                            .version = std::move(from.version),
                            .capacity = from.capacity,
                            .most_connections = from.most_connections};
    out.routes = std::set<route_id>(from.routes.begin(), from.routes.end());
    if (from.busy >= slots(0))
        out.load = entry::load_report{.busy = from.busy, .total = from.capacity};
    return out;
}

result<entry::announcement> read_announcement(std::string_view body)
{
    BOOST_LEAF_AUTO(root, kernel::parse_json(body, "announcement"));
    failures failed;
    kernel::reading const at{"announcement#", failed};
    announcement_text text;
    kernel::read_members(root, at, fields(), text);
    entry::target_state state{};
    if (!read_state(text.state, state))
        at.at("state").refuse("\"starting\", \"serving\" or \"leaving\"");
    if (!failed.empty())
        return boost::leaf::new_error(std::move(failed));
    auto out = to_announcement(std::move(text));
    out.state = state;
    return out;
}

} // namespace

decoded decode_announcement(std::string_view body)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<decoded> { return read_announcement(body); },
        [](failures const& failed) -> decoded { return bad_request{.expected = joined(failed)}; },
        []() -> decoded { return bad_request{.expected = "an announcement"}; });
}

} // namespace mulberryrudder::caller_http
