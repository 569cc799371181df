#include "command_line.hpp"

#include "commands.hpp"
#include "exit_codes.hpp"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>
#include <sstream>

namespace mulberryrudder::ctl
{

namespace
{

/// What popt fills in; texts are owned by popt's copies until they are taken over.
struct raw_options
{
    char* control = nullptr;
    char* entry = nullptr;
    char* file = nullptr;
    char* logs = nullptr;
    long number = 0;
    long timeout = 20;
    long every = 2;
    long count = 0;
    int json = 0;
    int version = 0;
};

struct popt_deleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using popt_handle = std::unique_ptr<std::remove_pointer_t<poptContext>, popt_deleter>;

std::string take_over(char* text)
{
    std::unique_ptr<char, decltype(&std::free)> const owned(text, &std::free);
    return text == nullptr ? std::string() : std::string(text);
}

invocation refuse(invocation out, std::string const& text)
{
    std::cerr << "mulberryctl: " << text << "; see --help\n";
    out.exit_code = exit_bad_input;
    return out;
}

/// Reads addresses that are separated by commas; false if one is none.
bool read_addresses(std::string const& text, std::vector<endpoint>& out)
{
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
    {
        endpoint where;
        if (!parse_endpoint(part, where))
            return false;
        out.push_back(std::move(where));
    }
    return !out.empty();
}

std::string control_addresses(raw_options const& raw, std::string given)
{
    if (!given.empty() || raw.control != nullptr)
        return given;
    char const* const from_environment = std::getenv("MULBERRYCTL_CONTROL");
    return from_environment == nullptr ? "127.0.0.1:7300" : from_environment;
}

invocation convert(raw_options const& raw, invocation out)
{
    auto const entry = take_over(raw.entry);
    out.file = take_over(raw.file);
    out.logs = take_over(raw.logs);
    out.json = raw.json != 0;
    if (!read_addresses(control_addresses(raw, take_over(raw.control)), out.control))
        return refuse(std::move(out), "--control takes IP numbers with ports, such as "
                                      "127.0.0.1:7300, separated by commas");
    endpoint where;
    if (!entry.empty() && !parse_endpoint(entry, where))
        return refuse(std::move(out), "--entry takes an IP number with a port");
    if (!entry.empty())
        out.entry = where;
    if (raw.number < 0 || raw.count < 0 || raw.timeout < 1 || raw.timeout > 3600 || raw.every < 1 ||
        raw.every > 3600)
        return refuse(std::move(out), "a number is out of range");
    if (raw.number > 0)
        out.number = static_cast<std::uint64_t>(raw.number);
    if (raw.count > 0)
        out.count = static_cast<std::uint64_t>(raw.count);
    out.timeout = seconds(raw.timeout);
    out.every = seconds(raw.every);
    return out;
}

/// Describes the options; popt writes their values into `out`.
std::vector<poptOption> options_into(raw_options& out)
{
    return {{"control", 'c', POPT_ARG_STRING, &out.control, 0,
             "Operators' addresses of the control instances (default: $MULBERRYCTL_CONTROL, else "
             "127.0.0.1:7300)",
             "ADDRESS,..."},
            {"entry", 'e', POPT_ARG_STRING, &out.entry, 0,
             "Address of an entry instance, for explain and counters", "ADDRESS"},
            {"file", 'f', POPT_ARG_STRING, &out.file, 0,
             "Read a key from FILE instead of standard input", "FILE"},
            {"logs", 'l', POPT_ARG_STRING, &out.logs, 0,
             "Explain a request from instances' JSON logs in FILE; - reads standard input", "FILE"},
            {"number", 'n', POPT_ARG_LONG, &out.number, 0,
             "Number of the note that `keys add` and `keys withdraw` write (default: the next one)",
             "N"},
            {"timeout", 't', POPT_ARG_LONG, &out.timeout, 0,
             "Seconds to wait for an answer (default: 20)", "S"},
            {"every", 0, POPT_ARG_LONG, &out.every, 0,
             "Seconds between looks of watch (default: 2)", "S"},
            {"count", 0, POPT_ARG_LONG, &out.count, 0,
             "Looks of watch (default: until interrupted)", "N"},
            {"json", 'j', POPT_ARG_NONE, &out.json, 0, "Print JSON instead of tables", nullptr},
            {"version", 0, POPT_ARG_NONE, &out.version, 0, "Print the version and exit", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
}

} // namespace

invocation read_command_line(int argc, char** argv)
{
    raw_options raw;
    auto const table = options_into(raw);
    auto const argv_const = const_cast<char const**>(argv);
    popt_handle const context(poptGetContext("mulberryctl", argc, argv_const, table.data(), 0));
    auto const help = help_text();
    poptSetOtherOptionHelp(context.get(), help.c_str());
    int const option = poptGetNextOpt(context.get());
    invocation out;
    if (option < -1)
        return refuse(std::move(out),
                      std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(option));
    if (raw.version != 0)
    {
        std::cout << "mulberryctl " << MULBERRYRUDDER_VERSION << "\n";
        out.exit_code = exit_ok;
        return out;
    }
    if (char const* const command = poptGetArg(context.get()))
        out.command = command;
    while (char const* const argument = poptGetArg(context.get()))
        out.arguments.emplace_back(argument);
    return convert(raw, std::move(out));
}

} // namespace mulberryrudder::ctl
