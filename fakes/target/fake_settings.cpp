#include "fake_settings.hpp"

namespace mulberryrudder::fakes
{

namespace
{

using kernel::required_field;

constexpr kernel::limits counts{1, 1000};
constexpr kernel::limits slot_counts{1, 10'000};
constexpr kernel::limits times{0, 3'600'000};
constexpr kernel::limits shares{0, 1000};

std::vector<kernel::field_spec<target_group>> const& group_fields()
{
    static std::vector<kernel::field_spec<target_group>> const it{
        required_field("name", &target_group::name, kernel::unbounded, "Prefix of their names."),
        field("count", &target_group::count, counts, "How many targets."),
        required_field("first", &target_group::first, kernel::unbounded,
                       "Address of the first; the others follow by port."),
        required_field("domain", &target_group::domain, kernel::unbounded, "Failure domain."),
        required_field("version", &target_group::version, kernel::unbounded, "Version."),
        required_field("routes", &target_group::routes, kernel::unbounded, "Routes they serve."),
        field("slots", &target_group::capacity, slot_counts, "Slots of each."),
        field("service_time", &target_group::service_time, times, "Milliseconds a request takes."),
        field("cold_time", &target_group::cold_time, times,
              "Milliseconds since the start during which requests take ten times as long."),
        field("failing", &target_group::failing, shares, "Per mille answered with status 500."),
        field("slow", &target_group::slow, shares, "Per mille that take ten times as long."),
        field("truncated", &target_group::truncated, shares, "Per mille of replies that are cut."),
        field("crossed", &target_group::crossed, shares,
              "Per mille of replies that carry another request's id."),
        field("faulty_after", &target_group::faulty_after, times,
              "Milliseconds since the start until the faults begin."),
        field("lying", &target_group::lying, kernel::unbounded, "Reports no load at all."),
        field("crashes", &target_group::crashes, kernel::unbounded,
              "Dies of requests whose body has the word poison."),
    };
    return it;
}

constexpr kernel::limits announce_periods{10, 60'000};

} // namespace

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits,
                target_group& out)
{
    read_members(from, at, group_fields(), out);
}

kernel::section<fake_settings> const fake_section{
    "fake_targets",
    {
        required_field("groups", &fake_settings::groups, kernel::unbounded,
                       "Groups of targets that are alike."),
        required_field("entries", &fake_settings::entries, kernel::unbounded,
                       "Entry instances of the targets' failure domain."),
        field("announce_period", &fake_settings::announce_period, announce_periods,
              "Milliseconds between two announcements."),
    }};

} // namespace mulberryrudder::fakes
