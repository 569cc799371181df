#include "commands.hpp"
#include "exit_codes.hpp"
#include "output.hpp"

#include <array>
#include <exception>
#include <iostream>

namespace mulberryrudder::ctl
{

namespace
{

constexpr std::array commands{
    command{"apply", "FILE", "put a release note in force (FILE - reads standard input)", 1, 1,
            &apply_note},
    command{"check", "FILE", "tell whether a release note fits, without applying it", 1, 1,
            &check_note},
    command{"diff", "FILE", "show what a release note would change", 1, 1, &show_difference},
    command{"status", "", "show how the control instances stand", 0, 0, &show_status},
    command{"watch", "", "show the status again whenever it changes", 0, 0, &watch_status},
    command{"keys", "list|generate|digest|add CUSTOMER|withdraw ID",
            "list, make, digest, add and withdraw keys; a key is read from --file or standard "
            "input only",
            1, 2, &handle_keys},
    command{"members", "list|replace OLD NEW", "show or change the control group", 1, 3,
            &handle_members},
    command{"drain", "list|INSTANCE on|off", "take an entry instance out, or back in", 1, 2,
            &handle_drain},
    command{"quarantine", "list|lift FINGERPRINT", "show or lift quarantined requests", 1, 2,
            &handle_quarantine},
    command{"counters", "", "show the counters of a control or (--entry) entry instance", 0, 0,
            &show_counters},
    command{"explain", "REQUEST-ID|move ROUTE", "tell why a request or a move went as it did", 1, 2,
            &explain}};

int run(invocation const& with)
{
    for (auto const& it : commands)
    {
        if (it.name != with.command)
            continue;
        auto const n = with.arguments.size();
        if (n < it.least_arguments || n > it.most_arguments)
            return refuse_use(std::string(it.name) + " takes " +
                              (it.arguments.empty() ? "no arguments" : std::string(it.arguments)));
        return it.run(with);
    }
    return refuse_use(with.command.empty() ? "a command is needed" : "there is no such command");
}

} // namespace

control_group group_of(invocation const& with)
{
    return {with.control, monotonic_now() + with.timeout};
}

std::string help_text()
{
    std::string out = "COMMAND [ARGUMENT...]\n\nCommands:\n";
    for (auto const& it : commands)
        out += "  " + std::string(it.name) + (it.arguments.empty() ? "" : " ") +
               std::string(it.arguments) + "\n      " + std::string(it.summary) + "\n";
    return out + "\nExit codes: 0 ok, 1 failed, 2 bad input, 3 conflict, 4 no answer or outcome "
                 "unknown (sending the same request again is safe)\n\nOptions:";
}

} // namespace mulberryrudder::ctl

int main(int argc, char** argv)
{
    using namespace mulberryrudder;
    try
    {
        auto const with = ctl::read_command_line(argc, argv);
        return with.exit_code ? *with.exit_code : ctl::run(with);
    }
    catch (std::exception const& e)
    {
        std::cerr << "mulberryctl: " << e.what() << "\n";
        return ctl::exit_failed;
    }
}
