// A server says that it leaves, and that is acknowledged. Right after it all processes of the
// system are killed. A status report of the server from before its leave arrives late.

#include "../stand_ins_2/deployment.hh"

#include <algorithm>

namespace
{

using namespace review;

// By the site file's bounds, in seconds.
constexpr double drain = 2.5;
constexpr double contact = 3;
/// The processes are back within a second.
constexpr double down = 0.8;
/// From its sending, the report is this late when it arrives.
constexpr double lateness = 3.5;
/// For how long the server serves on after the acknowledgement.
constexpr double serves_on = 12;

int leave_is_forgotten(std::string const& repository, recorder& record, bool trouble)
{
    deployment system(repository, record, 1);
    for (auto* const it : system.all())
        system.start(*it, true);
    sleep_for(2);
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 0; n != place_count; ++n)
        servers.push_back(
            std::make_unique<server>(system, record, "desk", n, system.server_address(n, 0), 0.1));
    if (system.order("POST", "/api/config/replace", "Base-Version: 0\r\n", desired_state(1), 10)
            .status() != 200)
        throw setup_failed{"the first desired state was not acknowledged"};
    sleep_for(3);
    consumers load(system, record, 18, 0.03);
    sleep_for(5);
    system.check_alive();

    auto& leaving = *servers[1];
    auto const late_report = leaving.status_report();
    auto const report_sent = now();
    record.line("server " + leaving.id() + " sends a status report that will be late");
    if (!leaving.deregister())
        throw setup_failed{"the leave was not acknowledged"};
    auto const acknowledged = now();
    record.line("server " + leaving.id() + " leaves, acknowledged");

    auto in_touch = acknowledged;
    if (trouble)
    {
        auto const all = system.all();
        for (auto* const it : all)
            system.kill(*it, SIGKILL);
        record.line("all processes of the system are killed");
        for (auto* const it : all)
            system.reap(*it);
        sleep_for(down);
        for (auto* const it : all)
            system.start(*it, false);
        in_touch = now() + 2 * contact;
    }
    sleep_until(report_sent + lateness);
    bool const taken = leaving.send_report(late_report);
    record.line(std::string("the late status report arrives, ") +
                (taken ? "acknowledged" : "not acknowledged"));
    sleep_until(acknowledged + serves_on);
    load.stop();
    sleep_for(0.5);
    system.check_alive();

    auto const sent = load.sent();
    auto const served = std::count_if(
        sent.begin(), sent.end(),
        [&](auto const& it) { return it.second.at > in_touch && it.second.status == 200; });
    if (served < 50)
        throw setup_failed{"hardly any request was served at the end"};
    int broken = 0;
    for (auto const& it : leaving.runs())
    {
        auto const request = sent.find(it.attempt);
        if (request == sent.end() || request->second.at <= std::max(acknowledged + drain, in_touch))
            continue;
        ++broken;
        record.line("DRAIN: " + it.attempt + " was sent " +
                    std::to_string(request->second.at - acknowledged) +
                    " s after the acknowledgement, and reached the server from " +
                    request->second.entry);
    }
    record.line(std::to_string(broken) + " requests reached the server that had left, " +
                std::to_string(served) + " were served in that time");
    return broken == 0 ? rule_held : rule_broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, leave_is_forgotten);
}
