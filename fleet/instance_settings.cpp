#include <mulberryrudder/fleet/instance_settings.hpp>

#include <chrono>

namespace mulberryrudder::fleet
{

namespace
{

constexpr kernel::limits instance_numbers{1, 65535};

std::vector<kernel::field_spec<control_address>> const& control_fields()
{
    static std::vector<kernel::field_spec<control_address>> const it{
        required_field("id", &control_address::id, instance_numbers,
                       "Number of the control instance."),
        required_field("peer", &control_address::peer, kernel::unbounded,
                       "Its address for the system's own processes."),
    };
    return it;
}

std::optional<std::string> check_instance(instance_settings const& it)
{
    if (it.control.empty())
        return "\"control\" to list at least one control instance";
    for (std::size_t n = 0; n != it.control.size(); ++n)
        for (std::size_t k = n + 1; k != it.control.size(); ++k)
            if (it.control[n].id == it.control[k].id || it.control[n].peer == it.control[k].peer)
                return "\"control\" to list each instance and address once";
    return std::nullopt;
}

} // namespace

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits,
                control_address& out)
{
    read_members(from, at, control_fields(), out);
}

kernel::section<instance_settings> const instance_section{
    "instance",
    {
        required_field("id", &instance_settings::id, instance_numbers,
                       "Number of this instance, unique in the fleet."),
        required_field("region", &instance_settings::region, kernel::unbounded,
                       "Region of this instance."),
        required_field("domain", &instance_settings::domain, kernel::unbounded,
                       "Failure domain of this instance, unique over all regions."),
        required_field("peer", &instance_settings::peer, kernel::unbounded,
                       "Address on which it listens for the system's own processes."),
        field("caller", &instance_settings::caller, kernel::unbounded,
              "Address on which an entry instance listens for callers and targets."),
        required_field("control", &instance_settings::control, kernel::unbounded,
                       "The control instances: objects of \"id\" and \"peer\"."),
    },
    check_instance};

instance_description describe(instance_settings const& it)
{
    return {.id = it.id,
            .region = it.region,
            .domain = it.domain,
            .peer = it.peer,
            .caller = it.caller};
}

std::vector<instance_id> control_ids(instance_settings const& it)
{
    std::vector<instance_id> out;
    for (auto const& control : it.control)
        out.push_back(control.id);
    return out;
}

boot_id new_boot_id()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return boot_id(static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(now).count()));
}

} // namespace mulberryrudder::fleet
