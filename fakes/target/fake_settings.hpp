#ifndef MULBERRYRUDDER_FAKES_TARGET_FAKE_SETTINGS_HPP
#define MULBERRYRUDDER_FAKES_TARGET_FAKE_SETTINGS_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <string>
#include <vector>

namespace mulberryrudder::fakes
{

/// Targets that are alike. Target number n of the group listens on `first` plus n.
struct target_group
{
    std::string name;
    std::uint32_t count = 1;
    endpoint first;
    domain_id domain;
    version_id version;
    std::vector<route_id> routes;
    slots capacity{8};
    milliseconds service_time{5};
    milliseconds cold_time{0};    ///< While it is cold, service takes ten times as long.
    per_mille failing{0};         ///< Requests answered with status 500.
    per_mille slow{0};            ///< Requests that take ten times as long.
    per_mille truncated{0};       ///< Replies that are cut.
    per_mille crossed{0};         ///< Replies that carry another request's id.
    milliseconds faulty_after{0}; ///< Since the start; the faults above begin then.
    bool lying = false;           ///< Reports no load at all.
    bool crashes = false;         ///< Dies of requests whose body has the word `poison`.
};

/// The `fake_targets` section.
struct fake_settings
{
    std::vector<target_group> groups;
    std::vector<endpoint> entries; ///< Where to announce; those of the targets' domain.
    milliseconds announce_period{500};
};

extern kernel::section<fake_settings> const fake_section;

/// Reads one element of `/fake_targets/groups`.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                target_group& out);

} // namespace mulberryrudder::fakes

#endif
