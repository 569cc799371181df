#include <mulberryrudder/fleet/instance_settings.hpp>

#include <boost/asio/ip/address_v4.hpp>

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

std::vector<kernel::field_spec<domain_place>> const& domain_fields()
{
    static std::vector<kernel::field_spec<domain_place>> const it{
        required_field("domain", &domain_place::domain, kernel::unbounded,
                       "Name of the failure domain."),
        required_field("region", &domain_place::region, kernel::unbounded, "Its region."),
    };
    return it;
}

std::optional<std::string> check_instance(instance_settings const& it)
{
    if (it.control.empty() && it.seeds.empty())
        return "\"control\" or \"seeds\" to list at least one control instance";
    if (it.id == instance_id() && id_of(it.peer) == instance_id())
        return "\"id\" to be given, or \"peer\" to have an IPv4 address";
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

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits,
                domain_place& out)
{
    read_members(from, at, domain_fields(), out);
}

kernel::section<instance_settings> const instance_section{
    "instance",
    {
        field("id", &instance_settings::id, instance_numbers,
              "Number of this instance, unique in the fleet; that of its IPv4 address if absent."),
        required_field("region", &instance_settings::region, kernel::unbounded,
                       "Region of this instance."),
        required_field("domain", &instance_settings::domain, kernel::unbounded,
                       "Failure domain of this instance, unique over all regions."),
        required_field("peer", &instance_settings::peer, kernel::unbounded,
                       "Address on which it listens for the system's own processes."),
        field("caller", &instance_settings::caller, kernel::unbounded,
              "Address on which an entry instance listens for callers and targets."),
        field("control", &instance_settings::control, kernel::unbounded,
              "The control instances: objects of \"id\" and \"peer\"."),
        field("seeds", &instance_settings::seeds, kernel::unbounded,
              "Addresses of some control instances, instead of \"control\": they listen for the "
              "system's own processes on the port of \"peer\", and name the others."),
        field("operators", &instance_settings::operators, kernel::unbounded,
              "Where other control instances send operators to this one."),
        field("founding", &instance_settings::founding, kernel::unbounded,
              "Whether control instances whose disks are all blank found a new group."),
        field("domains", &instance_settings::domains, kernel::unbounded,
              "The failure domains: objects of \"domain\" and \"region\"."),
    },
    check_instance};

instance_description describe(instance_settings const& it)
{
    return {.id = it.id == instance_id() ? id_of(it.peer) : it.id,
            .region = it.region,
            .domain = it.domain,
            .peer = it.peer,
            .caller = it.caller};
}

instance_id id_of(endpoint const& peer)
{
    boost::system::error_code ec;
    auto const address = boost::asio::ip::make_address_v4(peer.address, ec);
    return ec ? instance_id() : instance_id(address.to_uint());
}

std::vector<control_address> contacts(instance_settings const& it)
{
    auto out = it.control;
    for (auto const& seed : it.seeds)
    {
        endpoint const peer{.address = seed.address, .port = it.peer.port};
        out.push_back({.id = id_of(peer), .peer = peer});
    }
    return out;
}

std::vector<instance_id> control_ids(instance_settings const& it)
{
    std::vector<instance_id> out;
    for (auto const& control : contacts(it))
        out.push_back(control.id);
    return out;
}

std::map<domain_id, region_id> regions(instance_settings const& it)
{
    std::map<domain_id, region_id> out;
    for (auto const& each : it.domains)
        out.emplace(each.domain, each.region);
    return out;
}

boot_id new_boot_id()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return boot_id(static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(now).count()));
}

} // namespace mulberryrudder::fleet
